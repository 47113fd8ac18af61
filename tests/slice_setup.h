#ifndef TESTS_FOLD_SETTING_H
#define TESTS_FOLD_SETTING_H

#include "tests/make_record.h"

/* A view in which nodes 1 to 5 are live, and node 1 owns slice 0 with the
   successors 2 and 3.  */
struct setting
{
  struct view view;          /* the view */
  struct view_service *menu; /* the service */
  struct view_slice *slice;  /* slice 0 */
};

/* Set up the view.  */
static inline void
setting_init (struct setting *setting)
{
  guint64 n;

  view_init (&setting->view);
  make_apply (&setting->view, make_config ());
  for (n = 1; n <= 5; n++)
    make_apply (&setting->view, make_join (n));
  make_apply (&setting->view, make_slice (RECORD_ASSIGN, 0, 0, 1, 2, 3));
  setting->menu = view_find_service (&setting->view, MAKE_SERVICE);
  setting->slice = view_slice_at (setting->menu, 0);
}

/* The incarnation that owns slice 0, 0 for none.  */
static inline guint64
owner (const struct setting *setting)
{
  return view_incarnation (&setting->view, setting->slice->owner);
}

/* Begin a move of slice 0 to node 4 with successors 5 and 2.  */
static inline guint64
begin_move (struct setting *setting)
{
  return make_apply (
      &setting->view,
      make_slice (RECORD_MOVE, 0, setting->slice->epoch, 4, 5, 2));
}

#endif

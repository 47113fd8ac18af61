#ifndef TESTS_SLICE_SETUP_H
#define TESTS_SLICE_SETUP_H

#include "tests/make_record.h"

/* A view in which nodes 1 to 5 are live, and node 1 owns slice 0 with the
   successors 2 and 3.  */
struct setup
{
  struct view view;          /* the view */
  struct view_service *menu; /* the service */
  struct view_slice *slice;  /* slice 0 */
};

/* Set up the view.  */
static inline void
setup_init (struct setup *setup)
{
  guint64 n;

  view_init (&setup->view);
  make_apply (&setup->view, make_config ());
  for (n = 1; n <= 5; n++)
    make_apply (&setup->view, make_join (n));
  make_apply (&setup->view, make_slice (RECORD_ASSIGN, 0, 0, 1, 2, 3));
  setup->menu = view_find_service (&setup->view, MAKE_SERVICE);
  setup->slice = view_slice_at (setup->menu, 0);
}

/* Return the incarnation that owns slice 0, 0 for none.  */
static inline guint64
owner (const struct setup *setup)
{
  return view_incarnation (&setup->view, setup->slice->owner);
}

/* Begin a move of slice 0 to node 4 with the successors 5 and 2, and return
   its offset.  */
static inline guint64
begin_move (struct setup *setup)
{
  return make_apply (
      &setup->view, make_slice (RECORD_MOVE, 0, setup->slice->epoch, 4, 5, 2));
}

#endif

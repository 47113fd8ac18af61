#ifndef TESTS_FIXTURE_H
#define TESTS_FIXTURE_H

#include "decide/apply.h"
#include "decide/slice.h"

#include <string.h>

/* A small log applied to a view: nodes, slices, a move and hot keys.  */

#define FIXTURE_CONFIG                                                        \
  "[place a]\nregion = r\n"                                                   \
  "[service menu]\ndivided = yes\nslices = 8\n"                               \
  "[rule look]\nservice = menu\npath = /menus/\nkey-segment = 2\n"            \
  "run = idempotent\n"

/* Apply RECORD at the next offset of VIEW, and release it.  */
static inline void
fixture_apply (struct view *view, struct record *record)
{
  struct actions out;

  record->version = RECORD_VERSION;
  actions_init (&out);
  apply_record (view, MAX (view->applied_offset, 1), record, &out);
  actions_clear (&out);
  record_clear (record);
}

/* Apply a configuration based on the one at BASE.  */
static inline void
fixture_config (struct view *view, guint64 base, const char *text,
                guint64 writer)
{
  struct record record = { .kind = RECORD_CONFIG, .writer = writer };

  record.serial = 1;
  record.body.config.base_offset = base;
  record.body.config.text = g_strdup (text);
  fixture_apply (view, &record);
}

/* Apply the join of INCARNATION.  */
static inline void
fixture_join (struct view *view, guint64 incarnation)
{
  struct record record = { .kind = RECORD_JOIN, .writer = incarnation };
  struct record_join *join = &record.body.join;

  join->incarnation = incarnation;
  g_snprintf (join->host, sizeof join->host, "host-%u", (guint)incarnation);
  g_strlcpy (join->zone, "a", sizeof join->zone);
  g_strlcpy (join->service, "menu", sizeof join->service);
  join->peer_address.ip = 0x7f000001;
  join->peer_address.port = (guint16)(7000 + incarnation);
  fixture_apply (view, &record);
}

/* Apply the removal of INCARNATION.  */
static inline void
fixture_removed (struct view *view, guint64 incarnation)
{
  struct record record = { .kind = RECORD_REMOVED };

  record.body.removed.incarnation = incarnation;
  fixture_apply (view, &record);
}

/* Apply a record of KIND, an assignment or a move, that gives SLICE with EPOCH
   to OWNER, and has NEXT as its successor.  */
static inline void
fixture_slice (struct view *view, enum record_kind kind, guint32 slice,
               guint64 epoch, guint64 owner, guint64 next)
{
  struct record record = { .kind = kind };
  struct record_slices *body = &record.body.slices;

  g_strlcpy (body->service, "menu", sizeof body->service);
  body->count = 1;
  body->items = g_new0 (struct record_slice, 1);
  body->items[0].slice = slice;
  body->items[0].epoch = epoch;
  body->items[0].owner = owner;
  body->items[0].successors[0] = next;
  fixture_apply (view, &record);
}

/* Apply a record that gives KEY a slice of its own, or drops that slice if
   DROP is set.  */
static inline void
fixture_hot (struct view *view, const char *key, gboolean drop)
{
  struct record record = { .kind = RECORD_HOT_KEY };
  const struct view_service *service = view_find_service (view, "menu");

  g_strlcpy (record.body.hot_key.service, "menu", NAME_SIZE);
  g_strlcpy (record.body.hot_key.key, key, KEY_SIZE);
  record.body.hot_key.is_removal = drop;
  record.body.hot_key.slice.epoch
      = view_slice_at (service, slice_of_key (service, key))->epoch;
  fixture_apply (view, &record);
}

/* Set up a view with nodes 1 to 4, of which 3 is removed again, with assigned
   slices and a move.  */
static inline void
fixture_view (struct view *view)
{
  guint64 i;

  view_init (view);
  fixture_config (view, 0, FIXTURE_CONFIG, 77);
  for (i = 1; i <= 4; i++)
    fixture_join (view, i);
  fixture_slice (view, RECORD_ASSIGN, 0, 0, 1, 3);
  fixture_slice (view, RECORD_ASSIGN, 1, 0, 2, 4);
  fixture_slice (view, RECORD_MOVE, 1, 7, 4, 1);
  fixture_removed (view, 3);
}

#endif

#include "decide/hot.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

/* Time between searches for hot keys.  */
#define HOT_CHECK_USEC ((gint64)2000000)
#define HOT_DEMOTE_USEC                                                       \
  ((gint64)60000000) /* a key that is no longer hot keeps its slice for this  \
                        long */
#define HOT_RUNS_MIN 500u     /* fewest runs that allow a decision */
#define HOT_SHARE_MIN 0.10    /* a key is hot from this share of all runs */
#define HOT_DEMOTE_SHARE 0.02 /* a key is no longer hot below this share */

/* Initialise HOT without any key.  */
void
hot_init (struct hot *hot)
{
  memset (hot, 0, sizeof *hot);
}

/* Return the binding of KEY of SERVICE, or NULL.  */
const struct config_binding *
hot_find_binding (const struct view *view, const char *service,
                  const char *key)
{
  guint i;

  for (i = 0; view->has_config && i < view->config.bindings->len; i++)
    {
      const struct config_binding *binding
          = &g_array_index (view->config.bindings, struct config_binding, i);
      if (strcmp (binding->key, key) == 0
          && strcmp (binding->service, service) == 0)
        return binding;
    }
  return NULL;
}

/* Propose that KEY gets a slice of its own, or with DROP loses it.  EPOCH is
   the epoch of the slice that it has now.  */
static void
propose_hot (struct core *core, const struct view_service *service,
             const char *key, guint64 epoch, gboolean drop,
             struct actions *out)
{
  struct log_event *log_event
      = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  struct record_hot_key *body;

  log_event->id = LOG_EVENT_PLACE_HOT;
  log_event->amount = drop ? 0 : 1;
  g_strlcpy (log_event->service, service->config.name,
             sizeof log_event->service);
  g_strlcpy (log_event->key, key, sizeof log_event->key);
  body = &outbox_propose (&core->outbox, RECORD_HOT_KEY)->body.hot_key;
  g_strlcpy (body->service, service->config.name, sizeof body->service);
  g_strlcpy (body->key, key, sizeof body->key);
  body->slice.epoch = epoch;
  body->is_removal = drop;
}

/* Propose a slice of its own for KEY if this node owns the slice that the key
   hashes to and no move of it is pending.  Return whether the slice was
   proposed.  */
static gboolean
promote_key (struct core *core, const struct view_service *service,
             const char *key, struct actions *out)
{
  const struct view_slice *slice;

  if (g_hash_table_contains (service->slice_by_hot_key, key)
      || g_hash_table_size (service->slice_by_hot_key) >= HOT_KEYS_MAX)
    return FALSE;
  slice = view_slice_at (service, slice_of_key (service, key));
  if (slice == NULL || slice->move_offset != 0
      || !handle_equal (slice->owner, core->self))
    return FALSE;
  propose_hot (core, service, key, slice->epoch, FALSE, out);
  return TRUE;
}

/* Propose a slice for one key that is hot or bound and has none.  Return
   whether one was proposed.  */
static gboolean
promote_one (struct core *core, const struct view_service *service,
             struct actions *out)
{
  const struct sketch *sketch = &core->hot.sketch;
  guint i;

  for (i = 0; i < core->view.config.bindings->len; i++)
    {
      const struct config_binding *binding = &g_array_index (
          core->view.config.bindings, struct config_binding, i);
      if (strcmp (binding->service, service->config.name) == 0
          && promote_key (core, service, binding->key, out))
        return TRUE;
    }
  for (i = 0; i < SKETCH_KEYS && sketch->total_count >= HOT_RUNS_MIN; i++)
    if (sketch_min_share (sketch, i) >= HOT_SHARE_MIN
        && promote_key (core, service, sketch->keys[i].key, out))
      return TRUE;
  return FALSE;
}

/* Propose the next step that returns KEY, at INDEX among the hot keys, to the
   slice that it hashes to: a move of its own slice to the owner and successors
   of that one, or, once they are the same, to drop its slice.  */
static void
demote_key (struct core *core, const struct view_service *service,
            guint32 index, const char *key, struct actions *out)
{
  guint32 number = service->config.slice_count + index;
  guint32 hashed_number
      = (guint32)(slice_hash_text (key) % service->config.slice_count);
  const struct view_slice *slice = view_slice_at (service, number);
  const struct view_slice *hashed = view_slice_at (service, hashed_number);
  struct record_slice item = { .slice = number, .epoch = slice->epoch };
  struct record_slices *body;
  guint i;

  if (slice->move_offset != 0 || hashed->move_offset != 0)
    return;
  if (handle_equal (slice->owner, hashed->owner)
      && memcmp (slice->successors, hashed->successors,
                 sizeof slice->successors)
             == 0)
    {
      propose_hot (core, service, key, slice->epoch, TRUE, out);
      return;
    }
  item.owner = view_incarnation (&core->view, hashed->owner);
  for (i = 0; i < SUCCESSOR_MAX; i++)
    item.successors[i] = view_incarnation (&core->view, hashed->successors[i]);
  body = &outbox_propose (&core->outbox, RECORD_MOVE)->body.slices;
  g_strlcpy (body->service, service->config.name, sizeof body->service);
  body->count = 1;
  body->items = g_memdup2 (&item, sizeof item);
}

/* Return those hot keys of this node to their hashed slices that have been
   below HOT_DEMOTE_SHARE for HOT_DEMOTE_USEC and are not bound.  */
static void
demote_keys (struct core *core, const struct view_service *service, gint64 now,
             struct actions *out)
{
  guint i;

  for (i = 0; i < service->hot_keys->len; i++)
    {
      const char *key
          = g_array_index (service->hot_keys, struct view_hot_key, i).key;
      const struct view_slice *slice
          = view_slice_at (service, service->config.slice_count + i);
      gint64 *demote_at = &core->hot.demote_at[i];
      if (key[0] == '\0' || slice == NULL
          || !handle_equal (slice->owner, core->self)
          || sketch_max_share (&core->hot.sketch, key) >= HOT_DEMOTE_SHARE
          || hot_find_binding (&core->view, service->config.name, key) != NULL)
        *demote_at = 0;
      else if (*demote_at == 0)
        *demote_at = now + HOT_DEMOTE_USEC;
      else if (now >= *demote_at)
        demote_key (core, service, i, key, out);
    }
}

/* Search for keys that have become hot or are hot no longer, every
   HOT_CHECK_USEC.  */
void
hot_step (struct core *core, gint64 now, struct actions *out)
{
  const struct view_service *service;

  if (now < core->hot.next_check_at || !core->has_reached_log_end
      || !core->view.has_config || !handle_is_set (core->self)
      || outbox_has (&core->outbox, RECORD_HOT_KEY)
      || outbox_has (&core->outbox, RECORD_MOVE))
    return;
  core->hot.next_check_at = now + HOT_CHECK_USEC;
  service = view_find_service (&core->view, core->settings.service);
  if (service == NULL || !service->configured || !service->config.sharded)
    return;
  if (!promote_one (core, service, out))
    demote_keys (core, service, now, out);
}

#include "decide/apply.h"

#include "decide/apply_owner.h"
#include "decide/slice.h"

#include <string.h>

/* The slice that KEY hashes to, whether it is hot or not.  */
static struct view_slice *
hashed_slice (const struct view_service *service, const char *key)
{
  guint32 number;

  if (service->config.slice_count == 0)
    return NULL;
  number = (guint32)(slice_hash_text (key) % service->config.slice_count);
  return view_slice_at (service, number);
}

/* Find a free place for a hot key, adding one if there may be more.  Return
   FALSE if all are taken.  */
static gboolean
find_place (struct view_service *service, guint32 *place)
{
  guint32 i;

  for (i = 0; i < service->hot_keys->len; i++)
    if (g_array_index (service->hot_keys, struct view_hot_key, i).key[0]
        == '\0')
      break;
  if (i == HOT_KEYS_MAX)
    return FALSE;
  if (i == service->hot_keys->len)
    g_array_set_size (service->hot_keys, i + 1);
  if (service->slices->len < service->config.slice_count + i + 1)
    g_array_set_size (service->slices, service->config.slice_count + i + 1);
  *place = i;
  return TRUE;
}

/* Give KEY a slice of its own, owned as its hashed slice is, unless that one
   has no owner, is pending a move, or has another epoch than EPOCH.  */
static gboolean
create_hot (struct view *view, struct view_service *service, const char *key,
            guint64 epoch, guint64 offset)
{
  const struct view_slice *hashed = hashed_slice (service, key);
  struct view_slice *slice;
  guint32 place;

  if (key[0] == '\0' || g_hash_table_contains (service->slice_by_hot_key, key)
      || hashed == NULL || hashed->epoch != epoch || hashed->move_offset != 0
      || !apply_node_is_alive (view, hashed->owner)
      || !find_place (service, &place))
    return FALSE;
  g_strlcpy (g_array_index (service->hot_keys, struct view_hot_key, place).key,
             key, KEY_SIZE);
  g_hash_table_insert (service->slice_by_hot_key, g_strdup (key),
                       GUINT_TO_POINTER (service->config.slice_count + place));
  hashed = hashed_slice (service, key);
  slice = view_slice_at (service, service->config.slice_count + place);
  apply_set_owner (view, slice, hashed->owner, hashed->successors, offset);
  return TRUE;
}

/* Take the slice of its own from KEY, if it is owned as its hashed slice is
   and neither is pending a move.  The hashed slice gets a new epoch, so that
   the fences of KEY never go down.  */
static gboolean
drop_hot (struct view *view, struct view_service *service, const char *key,
          guint64 epoch, guint64 offset)
{
  struct view_slice *hashed = hashed_slice (service, key);
  struct handle none[SUCCESSOR_MAX] = { HANDLE_NONE };
  struct view_slice *slice;
  gpointer number;

  if (hashed == NULL
      || !g_hash_table_lookup_extended (service->slice_by_hot_key, key, NULL,
                                        &number))
    return FALSE;
  slice = view_slice_at (service, GPOINTER_TO_UINT (number));
  if (slice->epoch != epoch || slice->move_offset != 0
      || hashed->move_offset != 0
      || !handle_equal (slice->owner, hashed->owner)
      || memcmp (slice->successors, hashed->successors,
                 sizeof slice->successors)
             != 0)
    return FALSE;
  apply_set_owner (view, slice, HANDLE_NONE, none, offset);
  hashed->epoch = offset;
  memset (
      &g_array_index (service->hot_keys, struct view_hot_key,
                      GPOINTER_TO_UINT (number) - service->config.slice_count),
      0, sizeof (struct view_hot_key));
  g_hash_table_remove (service->slice_by_hot_key, key);
  return TRUE;
}

/* Give a hot key a slice of its own, or take it away again.  */
void
apply_hot (struct view *view, guint64 offset,
           const struct record_hot_key *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  guint64 epoch = body->slice.epoch;
  gboolean done = FALSE;
  struct log_event *log_event;

  if (service != NULL && body->is_removal)
    done = drop_hot (view, service, body->key, epoch, offset);
  else if (service != NULL)
    done = create_hot (view, service, body->key, epoch, offset);
  log_event = apply_log (
      out, done ? LOG_EVENT_PLACE_OWNED : LOG_EVENT_PLACE_DROPPED, offset);
  g_strlcpy (log_event->service, body->service, sizeof log_event->service);
  g_strlcpy (log_event->key, body->key, sizeof log_event->key);
}

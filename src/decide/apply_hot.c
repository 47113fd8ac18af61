#include "decide/apply.h"

#include "decide/apply_owner.h"
#include "decide/slice.h"

#include <string.h>

/* Return the slice that KEY hashes to, whether or not KEY is hot, or NULL if
   SERVICE has no slices.  */
static struct view_slice *
hashed_slice (const struct view_service *service, const char *key)
{
  guint32 number;

  if (service->config.slice_count == 0)
    return NULL;
  number = (guint32)(slice_hash_text (key) % service->config.slice_count);
  return view_slice_at (service, number);
}

/* Find a free position in the list of hot keys, or add one, and put it into
   POSITION.  Return FALSE if the list is full.  */
static gboolean
find_position (struct view_service *service, guint32 *position)
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
  *position = i;
  return TRUE;
}

/* Give KEY a slice of its own, with the owner and successors of the slice that
   it hashes to.  Return FALSE if KEY is hot already, if the list of hot keys
   is full, or if that slice has no owner, a pending move, or an epoch other
   than EPOCH.  */
static gboolean
create_hot (struct view *view, struct view_service *service, const char *key,
            guint64 epoch, guint64 offset)
{
  const struct view_slice *hashed = hashed_slice (service, key);
  struct view_slice *slice;
  guint32 position;

  if (key[0] == '\0' || g_hash_table_contains (service->slice_by_hot_key, key)
      || hashed == NULL || hashed->epoch != epoch || hashed->move_offset != 0
      || !apply_node_is_alive (view, hashed->owner)
      || !find_position (service, &position))
    return FALSE;
  g_strlcpy (
      g_array_index (service->hot_keys, struct view_hot_key, position).key,
      key, KEY_SIZE);
  g_hash_table_insert (
      service->slice_by_hot_key, g_strdup (key),
      GUINT_TO_POINTER (service->config.slice_count + position));
  hashed = hashed_slice (service, key);
  slice = view_slice_at (service, service->config.slice_count + position);
  apply_set_owner (view, slice, hashed->owner, hashed->successors, offset);
  return TRUE;
}

/* Drop the slice of KEY, if its owner and successors are those of the slice
   that KEY hashes to and neither has a pending move.  The hashed slice gets a
   new epoch, so that the fences of KEY never decrease.  Return FALSE if
   nothing was dropped.  */
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

/* Give a hot key a slice of its own, or drop that slice.  */
void
apply_hot (struct view *view, guint64 offset,
           const struct record_hot_key *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  guint64 epoch = body->slice.epoch;
  gboolean is_applied = FALSE;
  struct log_event *log_event;

  if (service != NULL && body->is_removal)
    is_applied = drop_hot (view, service, body->key, epoch, offset);
  else if (service != NULL)
    is_applied = create_hot (view, service, body->key, epoch, offset);
  log_event = apply_log (
      out, is_applied ? LOG_EVENT_PLACE_OWNED : LOG_EVENT_PLACE_DROPPED,
      offset);
  g_strlcpy (log_event->service, body->service, sizeof log_event->service);
  g_strlcpy (log_event->key, body->key, sizeof log_event->key);
}

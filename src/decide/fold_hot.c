#include "decide/fold.h"

#include "decide/fold_owner.h"
#include "decide/slice.h"

#include <string.h>

/* Return the slice that KEY hashes to, whether or not KEY is hot, or NULL if
   SERVICE has no slices.  */
static struct view_slice *
hashed_slice (const struct view_service *service, const char *key)
{
  guint32 number;

  if (service->config.slices == 0)
    return NULL;
  number = (guint32)(slice_hash_text (key) % service->config.slices);
  return view_slice_at (service, number);
}

/* Find a free position in the list of hot keys, or add one, and put it into
   POSITION.  Return FALSE if the list is full.  */
static gboolean
find_position (struct view_service *service, guint32 *position)
{
  guint32 i;

  for (i = 0; i < service->hot->len; i++)
    if (g_array_index (service->hot, struct view_hot, i).key[0] == '\0')
      break;
  if (i == HOT_MAX)
    return FALSE;
  if (i == service->hot->len)
    g_array_set_size (service->hot, i + 1);
  if (service->slices->len < service->config.slices + i + 1)
    g_array_set_size (service->slices, service->config.slices + i + 1);
  *position = i;
  return TRUE;
}

/* Give KEY a slice of its own, with the owner and successors of the slice that
   it hashes to.  Return FALSE if that slice has no owner, has a pending move,
   or has an epoch other than EPOCH.  */
static gboolean
create_hot (struct view *view, struct view_service *service, const char *key,
            guint64 epoch, guint64 offset)
{
  const struct view_slice *hashed = hashed_slice (service, key);
  struct view_slice *slice;
  guint32 position;

  if (key[0] == '\0' || g_hash_table_contains (service->hot_index, key)
      || hashed == NULL || hashed->epoch != epoch || hashed->move != 0
      || !fold_is_alive (view, hashed->owner)
      || !find_position (service, &position))
    return FALSE;
  g_strlcpy (g_array_index (service->hot, struct view_hot, position).key, key,
             KEY_SIZE);
  g_hash_table_insert (service->hot_index, g_strdup (key),
                       GUINT_TO_POINTER (service->config.slices + position));
  hashed = hashed_slice (service, key);
  slice = view_slice_at (service, service->config.slices + position);
  fold_set_owner (view, slice, hashed->owner, hashed->successor, offset);
  return TRUE;
}

/* Drop the slice of KEY, if its owner and successors are those of the slice
   that KEY hashes to and neither has a pending move.  The hashed slice gets a
   new epoch, so that the fences of KEY never decrease.  */
static gboolean
drop_hot (struct view *view, struct view_service *service, const char *key,
          guint64 epoch, guint64 offset)
{
  struct view_slice *hashed = hashed_slice (service, key);
  struct handle none[SUCCESSOR_MAX] = { HANDLE_NONE };
  struct view_slice *slice;
  gpointer number;

  if (hashed == NULL
      || !g_hash_table_lookup_extended (service->hot_index, key, NULL,
                                        &number))
    return FALSE;
  slice = view_slice_at (service, GPOINTER_TO_UINT (number));
  if (slice->epoch != epoch || slice->move != 0 || hashed->move != 0
      || !handle_equal (slice->owner, hashed->owner)
      || memcmp (slice->successor, hashed->successor, sizeof slice->successor)
             != 0)
    return FALSE;
  fold_set_owner (view, slice, HANDLE_NONE, none, offset);
  hashed->epoch = offset;
  memset (&g_array_index (service->hot, struct view_hot,
                          GPOINTER_TO_UINT (number) - service->config.slices),
          0, sizeof (struct view_hot));
  g_hash_table_remove (service->hot_index, key);
  return TRUE;
}

/* Give a hot key a slice of its own, or drop that slice.  */
void
fold_hot (struct view *view, guint64 offset, const struct record_hot *body,
          struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  guint64 epoch = body->slice.epoch;
  gboolean is_applied = FALSE;
  struct note *note;

  if (service != NULL && body->drop)
    is_applied = drop_hot (view, service, body->key, epoch, offset);
  else if (service != NULL)
    is_applied = create_hot (view, service, body->key, epoch, offset);
  note = fold_note (out, is_applied ? NOTE_PLACE_OWNED : NOTE_PLACE_DROPPED,
                    offset);
  g_strlcpy (note->service, body->service, sizeof note->service);
  g_strlcpy (note->key, body->key, sizeof note->key);
}

#include "decide/apply.h"

#include "decide/apply_owner.h"

#include <string.h>

/* Return the slice that ITEM names, or NULL if its epoch is not the one that
   the proposer saw.  */
static struct view_slice *
find_at_epoch (const struct view_service *service,
               const struct record_slice *item)
{
  struct view_slice *slice = view_slice_at (service, item->slice);

  return slice != NULL && slice->epoch == item->epoch ? slice : NULL;
}

/* Put the handles of the successors that ITEM names into SUCCESSORS, without
   those that may not own slices of SERVICE.  */
static void
find_successors (const struct view *view, const struct view_service *service,
                 const struct record_slice *item, struct handle *successors)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      successors[i] = view_find_node (view, item->successors[i]);
      if (!apply_node_may_own (view, service, successors[i]))
        successors[i] = HANDLE_NONE;
    }
}

/* Tell whether a move of SLICE to the node under TO may begin: SLICE has no
   pending move, and TO either is its owner, which only changes the successors,
   or may own slices of SERVICE.  */
static gboolean
may_move (const struct view *view, const struct view_service *service,
          const struct view_slice *slice, struct handle to)
{
  if (slice->move_offset != 0 || !apply_node_is_alive (view, slice->owner))
    return FALSE;
  return handle_equal (slice->owner, to)
         || apply_node_may_own (view, service, to);
}

/* Tell whether the slice NUMBER is one that keys hash to, or belongs to a hot
   key.  */
static gboolean
is_slice_in_use (const struct view_service *service, guint32 number)
{
  guint32 position = number - service->config.slice_count;

  if (number < service->config.slice_count)
    return TRUE;
  return position < service->hot_keys->len
         && g_array_index (service->hot_keys, struct view_hot_key, position)
                    .key[0]
                != '\0';
}

/* Log as event ID how many slices of BODY took effect, and how many were
   dropped.  */
static void
log_slices (const struct record_slices *body, enum log_event_id id,
            gint64 dropped, guint64 offset, struct actions *out)
{
  struct log_event *log_event;

  if (dropped > 0)
    apply_log (out, LOG_EVENT_PLACE_DROPPED, offset)->amount = dropped;
  if (dropped == (gint64)body->count)
    return;
  log_event = apply_log (out, id, offset);
  g_strlcpy (log_event->service, body->service, sizeof log_event->service);
  log_event->amount = (gint64)body->count - dropped;
}

/* Give slices without an owner the owners that BODY names.  */
void
apply_assign (struct view *view, guint64 offset,
              const struct record_slices *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  struct handle successors[SUCCESSOR_MAX];
  gint64 dropped = service == NULL ? body->count : 0;
  guint i;

  for (i = 0; service != NULL && i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      struct view_slice *slice = find_at_epoch (service, item);
      struct handle owner = view_find_node (view, item->owner);
      if (slice == NULL || view_node_at (view, slice->owner) != NULL
          || !is_slice_in_use (service, item->slice)
          || !apply_node_may_own (view, service, owner))
        {
          dropped++;
          continue;
        }
      find_successors (view, service, item, successors);
      apply_set_owner (view, slice, owner, successors, offset);
    }
  log_slices (body, LOG_EVENT_PLACE_OWNED, dropped, offset, out);
}

/* Begin the moves that BODY names, to nodes that may own the slices.  */
void
apply_move (struct view *view, guint64 offset,
            const struct record_slices *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  gint64 dropped = 0;
  guint i;

  for (i = 0; service != NULL && i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      struct view_slice *slice = find_at_epoch (service, item);
      struct handle to = view_find_node (view, item->owner);
      if (slice == NULL || !may_move (view, service, slice, to))
        {
          dropped++;
          continue;
        }
      slice->move_offset = offset;
      slice->receiver = to;
      find_successors (view, service, item, slice->next_successors);
    }
  if (dropped > 0)
    apply_log (out, LOG_EVENT_PLACE_DROPPED, offset)->amount = dropped;
}

/* End the move of SLICE that ITEM names, on behalf of the node WRITER.  Return
   FALSE if SLICE has no such move pending.  */
static gboolean
end_move (struct view *view, struct view_slice *slice,
          const struct record_slice *item, guint64 writer, guint64 offset)
{
  struct handle successors[SUCCESSOR_MAX];

  if (slice == NULL || slice->move_offset == 0
      || slice->move_offset != item->epoch)
    return FALSE;
  if (item->owner == 0)
    return apply_decline (view, slice, writer, offset);
  if (!handle_equal (slice->receiver, view_find_node (view, item->owner)))
    return FALSE;
  memcpy (successors, slice->next_successors, sizeof successors);
  apply_set_owner (view, slice, slice->receiver, successors, offset);
  return TRUE;
}

/* End the moves that BODY names: their receivers become the owners, or decline
   the slices where no owner is named.  The epoch of an item is the offset of
   its move.  */
void
apply_moved (struct view *view, guint64 offset, guint64 writer,
             const struct record_slices *body, struct actions *out)
{
  struct view_service *service = view_find_service (view, body->service);
  gint64 dropped = service == NULL ? body->count : 0;
  guint i;

  for (i = 0; service != NULL && i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      if (!end_move (view, view_slice_at (service, item->slice), item, writer,
                     offset))
        dropped++;
    }
  log_slices (body, LOG_EVENT_PLACE_OWNED, dropped, offset, out);
}

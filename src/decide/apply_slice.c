#include "decide/apply.h"

#include "decide/apply_owner.h"

#include <string.h>

/* The slice that ITEM names, if its epoch is the one expected.  */
static struct view_slice *
expected_slice (const struct view_service *service,
                const struct record_slice *item)
{
  struct view_slice *slice = view_slice_at (service, item->slice);

  return slice != NULL && slice->epoch == item->epoch ? slice : NULL;
}

/* Find the handles of the successors that ITEM names, leaving out those that
   may not own slices of SERVICE.  */
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

/* Tell whether SLICE, which is pending no move, may go to the node under TO:
   to another node if that one is live, or to its owner, which then only
   changes its successors.  */
static gboolean
may_move (const struct view *view, const struct view_service *service,
          const struct view_slice *slice, struct handle to)
{
  if (slice->move_offset != 0 || !apply_node_is_alive (view, slice->owner))
    return FALSE;
  return handle_equal (slice->owner, to)
         || apply_node_may_own (view, service, to);
}

/* Tell whether slice NUMBER is a hashed one or that of a hot key.  */
static gboolean
in_use (const struct view_service *service, guint32 number)
{
  guint32 place = number - service->config.slice_count;

  if (number < service->config.slice_count)
    return TRUE;
  return place < service->hot_keys->len
         && g_array_index (service->hot_keys, struct view_hot_key, place)
                    .key[0]
                != '\0';
}

/* Note under ID how many slices of BODY took effect, and how many were
   dropped.  */
static void
note_slices (const struct record_slices *body, enum log_event_id id,
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
      struct view_slice *slice = expected_slice (service, item);
      struct handle owner = view_find_node (view, item->owner);
      if (slice == NULL || view_node_at (view, slice->owner) != NULL
          || !in_use (service, item->slice)
          || !apply_node_may_own (view, service, owner))
        {
          dropped++;
          continue;
        }
      find_successors (view, service, item, successors);
      apply_set_owner (view, slice, owner, successors, offset);
    }
  note_slices (body, LOG_EVENT_PLACE_OWNED, dropped, offset, out);
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
      struct view_slice *slice = expected_slice (service, item);
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

/* End the move of SLICE that ITEM of WRITER names.  Return FALSE if it is
   pending no such move.  */
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

/* End the moves that BODY names: their receivers own the slices, or decline
   them where no owner is named.  The epoch of an item is the offset of the
   move.  */
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
  note_slices (body, LOG_EVENT_PLACE_OWNED, dropped, offset, out);
}

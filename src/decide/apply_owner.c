#include "decide/apply_owner.h"

#include <string.h>

/* Receiver of a move and the successors of both sides.  */
#define CANDIDATES_MAX (1u + 2u * SUCCESSOR_MAX)

/* Tell whether the node under H is neither removed nor replaced.  */
gboolean
apply_node_is_alive (const struct view *view, struct handle h)
{
  const struct view_node *node = view_node_at (view, h);

  return node != NULL && node->state != NODE_REPLACED;
}

/* Tell whether the node under H may be given slices of SERVICE.  */
gboolean
apply_node_may_own (const struct view *view,
                    const struct view_service *service, struct handle h)
{
  const struct view_node *node = view_node_at (view, h);

  return node != NULL && node->state == NODE_LIVE
         && strcmp (node->join.service, service->config.name) == 0;
}

/* Give SLICE to OWNER with SUCCESSORS as of OFFSET, and end its pending
   move.  */
void
apply_set_owner (struct view *view, struct view_slice *slice,
                 struct handle owner, const struct handle *successors,
                 guint64 offset)
{
  struct view_node *old_owner = view_node_at (view, slice->owner);
  struct view_node *new_owner = view_node_at (view, owner);

  if (old_owner != NULL)
    old_owner->owned_slice_count--;
  if (new_owner != NULL)
    new_owner->owned_slice_count++;
  slice->owner = new_owner != NULL ? owner : HANDLE_NONE;
  memmove (slice->successors, successors, sizeof slice->successors);
  slice->epoch = offset;
  slice->move_offset = 0;
  slice->receiver = HANDLE_NONE;
  memset (slice->next_successors, 0, sizeof slice->next_successors);
}

/* Append H to the COUNT nodes of CANDIDATES if it is alive and not in the list
   yet.  Return the new count.  */
static guint
add_candidate (const struct view *view, struct handle *candidates, guint count,
               struct handle h)
{
  guint i;

  if (!apply_node_is_alive (view, h))
    return count;
  for (i = 0; i < count; i++)
    if (handle_equal (candidates[i], h))
      return count;
  candidates[count] = h;
  return count + 1;
}

/* Pass SLICE on after its owner was removed with FLOOR.  If the owner may have
   begun the handoff of a pending move, the receiver of the move gets the
   slice; otherwise the first successor that is alive does, also if the move
   only changes successors.  A leaving successor counts, because it may have
   taken the slice over by certificate.  */
static void
pass_to_next_owner (struct view *view, struct view_slice *slice, guint64 floor,
                    guint64 offset)
{
  struct handle candidates[CANDIDATES_MAX + 1] = { HANDLE_NONE };
  guint count = 0;
  guint i;

  if (slice->move_offset != 0 && floor >= slice->move_offset
      && !handle_equal (slice->receiver, slice->owner))
    {
      count = add_candidate (view, candidates, count, slice->receiver);
      for (i = 0; i < SUCCESSOR_MAX; i++)
        count = add_candidate (view, candidates, count,
                               slice->next_successors[i]);
    }
  for (i = 0; i < SUCCESSOR_MAX; i++)
    count = add_candidate (view, candidates, count, slice->successors[i]);
  apply_set_owner (view, slice, candidates[0], &candidates[1], offset);
}

/* Redirect the pending move of SLICE after its receiver was removed: to the
   next receiver that is alive, or else back to the owner.  The move counts as
   new from OFFSET on, so that its fence is higher than that of the removed
   receiver and a late RECORD_MOVED of that receiver is dropped.  If the owner
   is replaced, no receiver can have been told that the slice is released, and
   the slice passes to the next owner.  */
static void
redirect_move (struct view *view, struct view_slice *slice, guint64 offset)
{
  struct handle candidates[CANDIDATES_MAX + 1] = { HANDLE_NONE };
  guint count = 0;
  guint i;

  if (!apply_node_is_alive (view, slice->owner))
    {
      pass_to_next_owner (view, slice, 0, offset);
      return;
    }
  for (i = 0; i < SUCCESSOR_MAX; i++)
    count = add_candidate (view, candidates, count, slice->next_successors[i]);
  slice->move_offset = offset;
  if (count > 0)
    {
      slice->receiver = candidates[0];
      memcpy (slice->next_successors, &candidates[1],
              sizeof slice->next_successors);
      return;
    }
  slice->receiver = slice->owner;
  memcpy (slice->next_successors, slice->successors,
          sizeof slice->next_successors);
}

/* End the pending move of SLICE, whose owner is replaced, because its receiver
   WRITER reports that it was never told that the slice is released.  Return
   FALSE unless the owner is replaced and WRITER is the receiver.  */
gboolean
apply_decline (struct view *view, struct view_slice *slice, guint64 writer,
               guint64 offset)
{
  if (view_node_at (view, slice->owner) == NULL
      || apply_node_is_alive (view, slice->owner) || writer == 0
      || view_incarnation (view, slice->receiver) != writer)
    return FALSE;
  pass_to_next_owner (view, slice, 0, offset);
  return TRUE;
}

/* Clear NODE from the successors of SLICE.  The other successors keep their
   positions, because a position is the takeover number in the fence.  */
static void
clear_successor (struct view_slice *slice, struct handle node)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      if (handle_equal (slice->successors[i], node))
        slice->successors[i] = HANDLE_NONE;
      if (handle_equal (slice->next_successors[i], node))
        slice->next_successors[i] = HANDLE_NONE;
    }
}

/* Pass SLICE on if NODE, which was removed with FLOOR, owned it; redirect its
   move if NODE was to receive it.  NODE is no successor of SLICE
   afterwards.  */
static void
slice_on_removed (struct view *view, struct view_slice *slice,
                  struct handle node, guint64 floor, guint64 offset)
{
  if (handle_equal (slice->owner, node))
    pass_to_next_owner (view, slice, floor, offset);
  else if (slice->move_offset != 0 && handle_equal (slice->receiver, node))
    redirect_move (view, slice, offset);
  clear_successor (slice, node);
}

/* Pass SLICE on if NODE, which was replaced, owned it; redirect its move if
   NODE was to receive it.  Only the witnesses of NODE know whether the
   receiver of a pending move was told that the slice is released, so a slice
   of NODE with such a move waits for the removal of NODE.  */
static void
slice_on_replaced (struct view *view, struct view_slice *slice,
                   struct handle node, guint64 offset)
{
  gboolean may_be_released
      = slice->move_offset != 0 && !handle_equal (slice->receiver, node);

  if (handle_equal (slice->owner, node) && !may_be_released)
    pass_to_next_owner (view, slice, 0, offset);
  else if (slice->move_offset != 0 && handle_equal (slice->receiver, node))
    redirect_move (view, slice, offset);
}

/* Pass on the slices of NODE, which the record at OFFSET has removed from VIEW
   with FLOOR.  */
void
apply_owner_removed (struct view *view, struct handle node, guint64 floor,
                     guint64 offset)
{
  guint i;
  guint k;

  for (i = 0; i < view->services->len; i++)
    {
      const struct view_service *service
          = g_ptr_array_index (view->services, i);
      for (k = 0; k < service->slices->len; k++)
        slice_on_removed (view, view_slice_at (service, k), node, floor,
                          offset);
    }
}

/* Pass on the slices of NODE, which the record at OFFSET has replaced.  */
void
apply_owner_replaced (struct view *view, struct handle node, guint64 offset)
{
  guint i;
  guint k;

  for (i = 0; i < view->services->len; i++)
    {
      const struct view_service *service
          = g_ptr_array_index (view->services, i);
      for (k = 0; k < service->slices->len; k++)
        slice_on_replaced (view, view_slice_at (service, k), node, offset);
    }
}

#include "decide/apply_owner.h"

#include <string.h>

#define CHAIN_MAX (1u + 2u * SUCCESSOR_MAX) /* nodes that may inherit */

/* Tell whether the node under H is neither out nor retired.  */
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

/* Give SLICE an owner as of OFFSET and end its pending move.  */
void
apply_set_owner (struct view *view, struct view_slice *slice,
                 struct handle owner, const struct handle *successors,
                 guint64 offset)
{
  struct view_node *old = view_node_at (view, slice->owner);
  struct view_node *new = view_node_at (view, owner);

  if (old != NULL)
    old->owned_slice_count--;
  if (new != NULL)
    new->owned_slice_count++;
  slice->owner = new != NULL ? owner : HANDLE_NONE;
  memmove (slice->successors, successors, sizeof slice->successors);
  slice->epoch = offset;
  slice->move_offset = 0;
  slice->receiver = HANDLE_NONE;
  memset (slice->next_successors, 0, sizeof slice->next_successors);
}

/* Add H to the COUNT nodes of CHAIN if it is alive and not there yet, and
   return the new count.  */
static guint
chain_add (const struct view *view, struct handle *chain, guint count,
           struct handle h)
{
  guint i;

  if (!apply_node_is_alive (view, h))
    return count;
  for (i = 0; i < count; i++)
    if (handle_equal (chain[i], h))
      return count;
  chain[count] = h;
  return count + 1;
}

/* Pass SLICE on after its owner has gone with FLOOR: to the receiver of its
   move if the giving-up had begun, otherwise to its first successor that is
   alive; also where only the successors were to change.  A leaving successor
   counts, because it may have taken the slice by certificate.  */
static void
inherit_slice (struct view *view, struct view_slice *slice, guint64 floor,
               guint64 offset)
{
  struct handle chain[CHAIN_MAX + 1] = { HANDLE_NONE };
  guint count = 0;
  guint i;

  if (slice->move_offset != 0 && floor >= slice->move_offset
      && !handle_equal (slice->receiver, slice->owner))
    {
      count = chain_add (view, chain, count, slice->receiver);
      for (i = 0; i < SUCCESSOR_MAX; i++)
        count = chain_add (view, chain, count, slice->next_successors[i]);
    }
  for (i = 0; i < SUCCESSOR_MAX; i++)
    count = chain_add (view, chain, count, slice->successors[i]);
  apply_set_owner (view, slice, chain[0], &chain[1], offset);
}

/* Pass the pending move of SLICE on after its receiver has gone: to the next
   receiver that is alive, at last back to the owner.  It counts as a new move
   as of OFFSET, so that its fence is above that of the receiver that has gone
   and a late `moved' of that one is dropped.  Where the owner is retired,
   nobody can have been told `released', and the slice is inherited.  */
static void
pass_move_on (struct view *view, struct view_slice *slice, guint64 offset)
{
  struct handle chain[CHAIN_MAX + 1] = { HANDLE_NONE };
  guint count = 0;
  guint i;

  if (!apply_node_is_alive (view, slice->owner))
    {
      inherit_slice (view, slice, 0, offset);
      return;
    }
  for (i = 0; i < SUCCESSOR_MAX; i++)
    count = chain_add (view, chain, count, slice->next_successors[i]);
  slice->move_offset = offset;
  if (count > 0)
    {
      slice->receiver = chain[0];
      memcpy (slice->next_successors, &chain[1],
              sizeof slice->next_successors);
      return;
    }
  slice->receiver = slice->owner;
  memcpy (slice->next_successors, slice->successors,
          sizeof slice->next_successors);
}

/* End the pending move of SLICE, whose owner is retired, because WRITER, its
   receiver, says that it was never told `released'.  Return FALSE if that is
   not so.  */
gboolean
apply_decline (struct view *view, struct view_slice *slice, guint64 writer,
               guint64 offset)
{
  if (view_node_at (view, slice->owner) == NULL
      || apply_node_is_alive (view, slice->owner) || writer == 0
      || view_incarnation (view, slice->receiver) != writer)
    return FALSE;
  inherit_slice (view, slice, 0, offset);
  return TRUE;
}

/* Forget the node under GONE where SLICE names it as a successor.  The places
   of the others stay, since they count the takeovers.  */
static void
forget_successor (struct view_slice *slice, struct handle gone)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      if (handle_equal (slice->successors[i], gone))
        slice->successors[i] = HANDLE_NONE;
      if (handle_equal (slice->next_successors[i], gone))
        slice->next_successors[i] = HANDLE_NONE;
    }
}

/* Pass SLICE on if the node under GONE, which is out, has to do with it.  */
static void
slice_out (struct view *view, struct view_slice *slice, struct handle gone,
           guint64 floor, guint64 offset)
{
  if (handle_equal (slice->owner, gone))
    inherit_slice (view, slice, floor, offset);
  else if (slice->move_offset != 0 && handle_equal (slice->receiver, gone))
    pass_move_on (view, slice, offset);
  forget_successor (slice, gone);
}

/* Pass SLICE on if the node under GONE, which is retired, has to do with it.
   Whether the receiver of a pending move was told `released' is known to the
   witnesses only, so such a slice waits for the `out'.  */
static void
slice_retired (struct view *view, struct view_slice *slice, struct handle gone,
               guint64 offset)
{
  gboolean released
      = slice->move_offset != 0 && !handle_equal (slice->receiver, gone);

  if (handle_equal (slice->owner, gone) && !released)
    inherit_slice (view, slice, 0, offset);
  else if (slice->move_offset != 0 && handle_equal (slice->receiver, gone))
    pass_move_on (view, slice, offset);
}

/* Pass on the slices of the node under GONE, which has been removed from VIEW
   by the record at OFFSET and was out with FLOOR.  */
void
apply_owner_removed (struct view *view, struct handle gone, guint64 floor,
                     guint64 offset)
{
  guint i;
  guint k;

  for (i = 0; i < view->services->len; i++)
    {
      const struct view_service *service
          = g_ptr_array_index (view->services, i);
      for (k = 0; k < service->slices->len; k++)
        slice_out (view, view_slice_at (service, k), gone, floor, offset);
    }
}

/* Pass on the slices of the node under GONE, which the record at OFFSET has
   marked as retired.  */
void
apply_owner_retired (struct view *view, struct handle gone, guint64 offset)
{
  guint i;
  guint k;

  for (i = 0; i < view->services->len; i++)
    {
      const struct view_service *service
          = g_ptr_array_index (view->services, i);
      for (k = 0; k < service->slices->len; k++)
        slice_retired (view, view_slice_at (service, k), gone, offset);
    }
}

#include "decide/plan_pass.h"

#include "decide/hot.h"

#include <string.h>

/* Return the row of the least loaded member that is still live in VIEW, or
   PLACE_NONE.  Members that are no longer live are excluded on the way.  */
guint32
plan_least_loaded (struct planner *planner, const struct view *view)
{
  struct placement *placement = &planner->placement;
  guint32 row = place_least_loaded (placement);

  while (row != PLACE_NONE)
    {
      const struct view_node *node
          = view_node_at (view, place_member_at (placement, row)->node);
      if (node != NULL && node->state == NODE_LIVE)
        return row;
      place_exclude (placement, row);
      row = place_least_loaded (placement);
    }
  return PLACE_NONE;
}

/* Return whether SLICE is in use: keys hash to it, or it belongs to a hot
   key.  */
static gboolean
is_in_use (const struct view_service *service, guint32 slice)
{
  guint32 hot_index = slice - service->config.slice_count;

  if (slice < service->config.slice_count)
    return TRUE;
  return hot_index < service->hot_keys->len
         && g_array_index (service->hot_keys, struct view_hot_key, hot_index)
                    .key[0]
                != '\0';
}

/* Return whether the member in ROW is in one of the COUNT zones of ZONES.  */
static gboolean
in_zones (const struct placement *placement, guint32 row, const guint32 *zones,
          guint32 count)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (zones[i] == place_member_at (placement, row)->zone_row)
      return TRUE;
  return FALSE;
}

/* Return whether the successors of SLICE, owned by the member in row OWNER,
   are good: all live, as many as there can be, and together with the owner in
   as many zones as possible.  */
static gboolean
has_good_successors (const struct planner *planner,
                     const struct view_slice *slice, guint32 owner)
{
  const struct placement *placement = &planner->placement;
  guint32 zones[1 + SUCCESSOR_MAX]
      = { place_member_at (placement, owner)->zone_row };
  guint32 wanted = MIN (SUCCESSOR_MAX, placement->live_count - 1);
  guint32 found = 0;
  guint32 count = 1;
  guint32 i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      guint32 row = place_find_row (placement, slice->successors[i]);
      if (!handle_is_set (slice->successors[i]))
        continue;
      if (row == PLACE_NONE || !place_member_at (placement, row)->is_live)
        return FALSE;
      found++;
      if (!in_zones (placement, row, zones, count))
        zones[count++] = place_member_at (placement, row)->zone_row;
    }
  return found >= wanted && count >= planner->zone_spread;
}

/* Add SLICE, whose number is NUMBER, to ITEMS with the least loaded member as
   its owner.  */
static void
transfer (struct planner *planner, const struct view *view,
          const struct view_slice *slice, guint32 number, GArray *items)
{
  guint32 to = plan_least_loaded (planner, view);

  if (to != PLACE_NONE)
    plan_batch_add (items, planner, slice, number, to);
}

/* Return the row of the live member that a binding names as owner of the hot
   slice NUMBER, or PLACE_NONE.  BOUND is set to whether there is a
   binding.  */
static guint32
find_bound_member (const struct planner *planner, const struct view *view,
                   const struct view_service *service, guint32 number,
                   gboolean *bound)
{
  const struct config_binding *binding = NULL;
  guint32 hot_index = number - service->config.slice_count;
  guint32 i;

  if (number >= service->config.slice_count
      && hot_index < service->hot_keys->len)
    binding = hot_find_binding (
        view, service->config.name,
        g_array_index (service->hot_keys, struct view_hot_key, hot_index).key);
  *bound = binding != NULL;
  for (i = 0; binding != NULL && i < planner->placement.members->len; i++)
    {
      const struct place_member *member
          = place_member_at (&planner->placement, i);
      const struct view_node *node = view_node_at (view, member->node);
      if (node != NULL && node->state == NODE_LIVE && member->is_live
          && strcmp (node->join.server, binding->server) == 0)
        return i;
    }
  return PLACE_NONE;
}

/* Move the slice NUMBER to the member that a binding names for it.  Without a
   binding it becomes a candidate for balancing, unless it is in its
   cooldown.  */
static void
move_if_bound (struct planner *planner, const struct view *view,
               const struct view_service *service, guint32 number,
               guint32 owner, gint64 now, struct plan_batch *batch)
{
  gboolean bound;
  guint32 to = find_bound_member (planner, view, service, number, &bound);

  if (to != PLACE_NONE && to != owner)
    plan_batch_add (batch->moves, planner, view_slice_at (service, number),
                    number, to);
  else if (!bound && !planner_in_cooldown (planner, number, now))
    slice_list_add (&planner->candidates, owner, number);
}

/* Check the slice NUMBER.  A slice without an owner gets one, and a slice of a
   leaving member is moved away.  If a successor is removed or leaving, or the
   zones are not spread, the slice gets new successors by a move to its own
   owner.  Otherwise the slice may be moved to a bound server or for balance.
   Slices of a replaced owner stay: a replaced node is dead and cannot release
   a slice, and a pending move would keep its successors from taking over.  */
void
plan_check_slice (struct planner *planner, const struct view *view,
                  const struct view_service *service, guint32 number,
                  gint64 now, struct plan_batch *batch)
{
  const struct view_slice *slice = view_slice_at (service, number);
  guint32 owner = place_find_row (&planner->placement, slice->owner);

  if (!handle_is_set (slice->owner))
    {
      if (is_in_use (service, number))
        transfer (planner, view, slice, number, batch->assigns);
      return;
    }
  if (slice->move_offset != 0 && !handle_equal (slice->receiver, slice->owner))
    planner->pending_moves++;
  if (owner == PLACE_NONE || slice->move_offset != 0)
    return;
  if (place_member_at (&planner->placement, owner)->is_leaving)
    transfer (planner, view, slice, number, batch->moves);
  else if (!place_member_at (&planner->placement, owner)->is_live)
    return;
  else if (!has_good_successors (planner, slice, owner))
    plan_batch_add (batch->moves, planner, slice, number, owner);
  else
    move_if_bound (planner, view, service, number, owner, now, batch);
}

#include "decide/plan_pass.h"

#include "decide/hot.h"

#include <string.h>

/* The least loaded member that is still live in VIEW, or PLACE_NONE.  */
guint32
plan_least_loaded (struct planner *planner, const struct view *view)
{
  struct placement *place = &planner->placement;
  guint32 row = place_least_loaded (place);

  while (row != PLACE_NONE)
    {
      const struct view_node *node
          = view_node_at (view, place_member_at (place, row)->node);
      if (node != NULL && node->state == NODE_LIVE)
        return row;
      place_exclude (place, row);
      row = place_least_loaded (place);
    }
  return PLACE_NONE;
}

/* Tell whether SLICE is hashed to or the slice of a hot key.  */
static gboolean
in_use (const struct view_service *service, guint32 slice)
{
  guint32 hot = slice - service->config.slice_count;

  if (slice < service->config.slice_count)
    return TRUE;
  return hot < service->hot_keys->len
         && g_array_index (service->hot_keys, struct view_hot_key, hot).key[0]
                != '\0';
}

/* Tell whether the member in ROW stands in one of the COUNT zones.  */
static gboolean
in_zones (const struct placement *place, guint32 row, const guint32 *zones,
          guint32 count)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (zones[i] == place_member_at (place, row)->zone_row)
      return TRUE;
  return FALSE;
}

/* Tell whether the successors of SLICE, owned by the member in OWNER, are all
   live, as many as there can be, and spread together with it over as many
   zones as there can be.  */
static gboolean
is_spread (const struct planner *planner, const struct view_slice *slice,
           guint32 owner)
{
  const struct placement *place = &planner->placement;
  guint32 zones[1 + SUCCESSOR_MAX]
      = { place_member_at (place, owner)->zone_row };
  guint32 wanted = MIN (SUCCESSOR_MAX, place->live_count - 1);
  guint32 found = 0;
  guint32 count = 1;
  guint32 i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      guint32 row = place_find_row (place, slice->successors[i]);
      if (!handle_is_set (slice->successors[i]))
        continue;
      if (row == PLACE_NONE || !place_member_at (place, row)->is_live)
        return FALSE;
      found++;
      if (!in_zones (place, row, zones, count))
        zones[count++] = place_member_at (place, row)->zone_row;
    }
  return found >= wanted && count >= planner->zone_spread;
}

/* Give SLICE to the least loaded member, in a record of ITEMS.  */
static void
give (struct planner *planner, const struct view *view,
      const struct view_slice *slice, guint32 number, GArray *items)
{
  guint32 to = plan_least_loaded (planner, view);

  if (to != PLACE_NONE)
    plan_batch_add (items, planner, slice, number, to);
}

/* The member that a binding wants to own the hot slice NUMBER, or PLACE_NONE
   where there is none.  BOUND tells whether there is a binding.  */
static guint32
bound_member (const struct planner *planner, const struct view *view,
              const struct view_service *service, guint32 number,
              gboolean *bound)
{
  const struct config_binding *binding = NULL;
  guint32 place = number - service->config.slice_count;
  guint32 i;

  if (number >= service->config.slice_count && place < service->hot_keys->len)
    binding = hot_find_binding (
        view, service->config.name,
        g_array_index (service->hot_keys, struct view_hot_key, place).key);
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

/* Bring a slice that is bound to its member, and let any other be moved for
   balance unless it rests.  */
static void
settle (struct planner *planner, const struct view *view,
        const struct view_service *service, guint32 number, guint32 owner,
        gint64 now, struct plan_batch *batch)
{
  gboolean bound;
  guint32 to = bound_member (planner, view, service, number, &bound);

  if (to != PLACE_NONE && to != owner)
    plan_batch_add (batch->moves, planner, view_slice_at (service, number),
                    number, to);
  else if (!bound && !planner_in_cooldown (planner, number, now))
    slice_list_add (&planner->candidates, owner, number);
}

/* Look at the slice NUMBER: give it an owner if it has none; move it off a
   node that leaves; name new successors, by a move to its own owner, where one
   is out or leaves or the spread is wanting; otherwise it may be moved for
   balance, unless it rests.  A retired owner can release nothing, and a move
   would keep its successors from taking over: its slices stay.  */
void
plan_check_slice (struct planner *planner, const struct view *view,
                  const struct view_service *service, guint32 number,
                  gint64 now, struct plan_batch *batch)
{
  const struct view_slice *slice = view_slice_at (service, number);
  guint32 owner = place_find_row (&planner->placement, slice->owner);

  if (!handle_is_set (slice->owner))
    {
      if (in_use (service, number))
        give (planner, view, slice, number, batch->assigns);
      return;
    }
  if (slice->move_offset != 0 && !handle_equal (slice->receiver, slice->owner))
    planner->pending_moves++;
  if (owner == PLACE_NONE || slice->move_offset != 0)
    return;
  if (place_member_at (&planner->placement, owner)->is_leaving)
    give (planner, view, slice, number, batch->moves);
  else if (!place_member_at (&planner->placement, owner)->is_live)
    return;
  else if (!is_spread (planner, slice, owner))
    plan_batch_add (batch->moves, planner, slice, number, owner);
  else
    settle (planner, view, service, number, owner, now, batch);
}

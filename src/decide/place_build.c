#include "decide/place.h"

#include "decide/slice.h"

#include <string.h>

#define PERCENT 100.0

/* Return the row of the zone NAME, which is added if it is new.  */
static guint32
find_zone (struct placement *placement, const char *name)
{
  struct place_zone zone;
  guint32 i;

  for (i = 0; i < placement->zones->len; i++)
    if (strcmp (place_zone_at (placement, i)->name, name) == 0)
      return i;
  g_strlcpy (zone.name, name, sizeof zone.name);
  zone.rows_by_load = g_sequence_new (NULL);
  zone.rows_by_successions = g_sequence_new (NULL);
  g_array_append_val (placement->zones, zone);
  return i;
}

/* Return the slots of NODE, scaled by the weight that the configuration gives
   its server in percent.  */
static gdouble
capacity_of (const struct view *view, const struct view_node *node)
{
  const struct config_server *server
      = view->has_config
            ? config_find_server (&view->config, node->join.server)
            : NULL;
  gdouble slots = MAX (1, node->join.slots);

  return server != NULL ? slots * server->weight / PERCENT : slots;
}

/* Initialise a placement without members.  */
void
place_init (struct placement *placement)
{
  memset (placement, 0, sizeof *placement);
  placement->members = g_array_new (FALSE, TRUE, sizeof (struct place_member));
  placement->zones = g_array_new (FALSE, TRUE, sizeof (struct place_zone));
  placement->row_by_node = g_array_new (FALSE, TRUE, sizeof (guint32));
}

/* Free the memory of PLACEMENT.  */
void
place_clear (struct placement *placement)
{
  guint i;

  for (i = 0; i < placement->zones->len; i++)
    {
      g_sequence_free (place_zone_at (placement, i)->rows_by_load);
      g_sequence_free (place_zone_at (placement, i)->rows_by_successions);
    }
  g_array_free (placement->zones, TRUE);
  g_array_free (placement->members, TRUE);
  g_array_free (placement->row_by_node, TRUE);
  memset (placement, 0, sizeof *placement);
}

/* Add the node H as a member without load.  Nodes that are not in VIEW and
   members that are known already are ignored.  */
void
place_add_member (struct placement *placement, const struct view *view,
                  struct handle h)
{
  const struct view_node *node = view_node_at (view, h);
  struct place_member member = { .node = h };

  if (node == NULL || place_find_row (placement, h) != PLACE_NONE)
    return;
  member.incarnation = node->join.incarnation;
  member.host_hash = slice_hash_text (node->join.host);
  member.capacity = capacity_of (view, node);
  member.is_live = node->state == NODE_LIVE && member.capacity > 0;
  member.is_leaving = node->state == NODE_LEAVING;
  member.capacity = MAX (member.capacity, 1.0 / PERCENT);
  member.zone_row = find_zone (placement, node->join.zone);
  g_array_append_val (placement->members, member);
  if (handle_index (h) >= placement->row_by_node->len)
    g_array_set_size (placement->row_by_node, handle_index (h) + 1);
  g_array_index (placement->row_by_node, guint32, handle_index (h))
      = placement->members->len;
  if (!member.is_live)
    return;
  placement->live_capacity += member.capacity;
  placement->live_count++;
}

/* Add WEIGHT to the load of the owner of SLICE, or of the receiver if a move
   is pending, and count the successions of its successors.  */
void
place_count_slice (struct placement *placement, const struct view_slice *slice,
                   gdouble weight)
{
  gboolean is_moving = slice->move_offset != 0;
  guint32 row
      = place_find_row (placement, is_moving ? slice->receiver : slice->owner);
  guint i;

  if (row == PLACE_NONE)
    return;
  place_member_at (placement, row)->load += weight;
  placement->total_load += weight;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      row = place_find_row (placement, is_moving ? slice->next_successors[i]
                                                 : slice->successors[i]);
      if (row != PLACE_NONE)
        place_member_at (placement, row)->succession_count++;
    }
}

/* Insert the member in ROW, whose load has been counted, into the sorted
   sequences of its zone if it is live.  */
void
place_sort_in (struct placement *placement, guint32 row)
{
  struct place_member *member = place_member_at (placement, row);
  struct place_zone *zone = place_zone_at (placement, member->zone_row);

  if (!member->is_live)
    return;
  member->load_iter
      = g_sequence_insert_sorted (zone->rows_by_load, GUINT_TO_POINTER (row),
                                  place_compare_load, placement);
  member->succession_iter = g_sequence_insert_sorted (
      zone->rows_by_successions, GUINT_TO_POINTER (row),
      place_compare_successions, placement);
}

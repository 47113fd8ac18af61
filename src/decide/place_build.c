#include "decide/place.h"

#include "decide/slice.h"

#include <string.h>

#define PERCENT 100.0

/* The row of the zone NAME, added if it is new.  */
static guint32
find_zone (struct placement *place, const char *name)
{
  struct place_zone zone;
  guint32 i;

  for (i = 0; i < place->zones->len; i++)
    if (strcmp (place_zone_at (place, i)->name, name) == 0)
      return i;
  g_strlcpy (zone.name, name, sizeof zone.name);
  zone.rows_by_load = g_sequence_new (NULL);
  zone.rows_by_successions = g_sequence_new (NULL);
  g_array_append_val (place->zones, zone);
  return i;
}

/* The slots of NODE, weighted as the configuration says of its server.  */
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

/* Set up a place without members.  */
void
place_init (struct placement *place)
{
  memset (place, 0, sizeof *place);
  place->members = g_array_new (FALSE, TRUE, sizeof (struct place_member));
  place->zones = g_array_new (FALSE, TRUE, sizeof (struct place_zone));
  place->row_by_node = g_array_new (FALSE, TRUE, sizeof (guint32));
}

/* Release what PLACE holds.  */
void
place_clear (struct placement *place)
{
  guint i;

  for (i = 0; i < place->zones->len; i++)
    {
      g_sequence_free (place_zone_at (place, i)->rows_by_load);
      g_sequence_free (place_zone_at (place, i)->rows_by_successions);
    }
  g_array_free (place->zones, TRUE);
  g_array_free (place->members, TRUE);
  g_array_free (place->row_by_node, TRUE);
  memset (place, 0, sizeof *place);
}

/* Add the node under H, which carries nothing yet.  */
void
place_add_member (struct placement *place, const struct view *view,
                  struct handle h)
{
  const struct view_node *node = view_node_at (view, h);
  struct place_member member = { .node = h };

  if (node == NULL || place_find_row (place, h) != PLACE_NONE)
    return;
  member.incarnation = node->join.incarnation;
  member.host_hash = slice_hash_text (node->join.host);
  member.capacity = capacity_of (view, node);
  member.is_live = node->state == NODE_LIVE && member.capacity > 0;
  member.is_leaving = node->state == NODE_LEAVING;
  member.capacity = MAX (member.capacity, 1.0 / PERCENT);
  member.zone_row = find_zone (place, node->join.zone);
  g_array_append_val (place->members, member);
  if (handle_index (h) >= place->row_by_node->len)
    g_array_set_size (place->row_by_node, handle_index (h) + 1);
  g_array_index (place->row_by_node, guint32, handle_index (h))
      = place->members->len;
  if (!member.is_live)
    return;
  place->live_capacity += member.capacity;
  place->live_count++;
}

/* Count what SLICE of WEIGHT lays on its owner, or on the receiver of its
   move, and on its successors.  */
void
place_count_slice (struct placement *place, const struct view_slice *slice,
                   gdouble weight)
{
  gboolean moves = slice->move_offset != 0;
  guint32 row = place_find_row (place, moves ? slice->receiver : slice->owner);
  guint i;

  if (row == PLACE_NONE)
    return;
  place_member_at (place, row)->load += weight;
  place->total_load += weight;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      row = place_find_row (place, moves ? slice->next_successors[i]
                                         : slice->successors[i]);
      if (row != PLACE_NONE)
        place_member_at (place, row)->succession_count++;
    }
}

/* Put the member in ROW, whose load has been counted, into the order of its
   zone if it is live.  */
void
place_sort_in (struct placement *place, guint32 row)
{
  struct place_member *member = place_member_at (place, row);
  struct place_zone *zone = place_zone_at (place, member->zone_row);

  if (!member->is_live)
    return;
  member->load_iter = g_sequence_insert_sorted (
      zone->rows_by_load, GUINT_TO_POINTER (row), place_compare_load, place);
  member->succession_iter = g_sequence_insert_sorted (
      zone->rows_by_successions, GUINT_TO_POINTER (row),
      place_compare_successions, place);
}

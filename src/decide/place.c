#include "decide/place.h"

/* Return the member in ROW.  */
struct place_member *
place_member_at (const struct placement *placement, guint32 row)
{
  return &g_array_index (placement->members, struct place_member, row);
}

/* Return the zone in ROW.  */
struct place_zone *
place_zone_at (const struct placement *placement, guint32 row)
{
  return &g_array_index (placement->zones, struct place_zone, row);
}

/* Return the row of NODE, or PLACE_NONE if it is not a member.  */
guint32
place_find_row (const struct placement *placement, struct handle node)
{
  guint32 index = handle_index (node);
  guint32 row;

  if (!handle_is_set (node) || index >= placement->row_by_node->len)
    return PLACE_NONE;
  row = g_array_index (placement->row_by_node, guint32, index);
  if (row == 0
      || !handle_equal (place_member_at (placement, row - 1)->node, node))
    return PLACE_NONE;
  return row - 1;
}

/* Ordering */

/* Return the load of MEMBER per unit of its capacity.  */
gdouble
place_relative_load (const struct place_member *member)
{
  return member->load / member->capacity;
}

/* Compare A with B; equal numbers are ordered by the rows LEFT and RIGHT.  */
static gint
compare_numbers (gdouble a, gdouble b, guint32 left, guint32 right)
{
  if (a != b)
    return a < b ? -1 : 1;
  return left < right ? -1 : left > right;
}

/* Compare the rows A and B of the placement DATA by relative load.  */
gint
place_compare_load (gconstpointer a, gconstpointer b, gpointer data)
{
  guint32 left = GPOINTER_TO_UINT (a);
  guint32 right = GPOINTER_TO_UINT (b);

  return compare_numbers (place_relative_load (place_member_at (data, left)),
                          place_relative_load (place_member_at (data, right)),
                          left, right);
}

/* Compare the rows A and B of the placement DATA by their number of
   successions per unit of capacity.  */
gint
place_compare_successions (gconstpointer a, gconstpointer b, gpointer data)
{
  guint32 left = GPOINTER_TO_UINT (a);
  guint32 right = GPOINTER_TO_UINT (b);
  const struct place_member *first = place_member_at (data, left);
  const struct place_member *second = place_member_at (data, right);

  return compare_numbers (first->succession_count / first->capacity,
                          second->succession_count / second->capacity, left,
                          right);
}

/* Queries */

/* Return the mean load per unit of capacity.  */
gdouble
place_mean_load (const struct placement *placement)
{
  return placement->live_capacity > 0
             ? placement->total_load / placement->live_capacity
             : 0;
}

/* Return the row of the live member with the least relative load among those
   that are not excluded, or PLACE_NONE.  */
guint32
place_least_loaded (const struct placement *placement)
{
  guint32 best = PLACE_NONE;
  guint32 i;

  for (i = 0; i < placement->zones->len; i++)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (
          place_zone_at (placement, i)->rows_by_load);
      guint32 row;
      if (g_sequence_iter_is_end (first))
        continue;
      row = GPOINTER_TO_UINT (g_sequence_get (first));
      if (best == PLACE_NONE
          || place_relative_load (place_member_at (placement, row))
                 < place_relative_load (place_member_at (placement, best)))
        best = row;
    }
  return best;
}

/* Return the row of the live member with the highest relative load among those
   that are not excluded, or PLACE_NONE.  */
guint32
place_most_loaded (const struct placement *placement)
{
  guint32 best = PLACE_NONE;
  guint32 i;

  for (i = 0; i < placement->zones->len; i++)
    {
      GSequenceIter *end = g_sequence_get_end_iter (
          place_zone_at (placement, i)->rows_by_load);
      guint32 row;
      if (g_sequence_iter_is_begin (end))
        continue;
      row = GPOINTER_TO_UINT (g_sequence_get (g_sequence_iter_prev (end)));
      if (best == PLACE_NONE
          || place_relative_load (place_member_at (placement, row))
                 > place_relative_load (place_member_at (placement, best)))
        best = row;
    }
  return best;
}

/* Return the number of zones that an owner and its successors can span.  */
guint32
place_zone_spread (const struct placement *placement)
{
  guint32 zones = 0;
  guint32 i;

  for (i = 0; i < placement->zones->len; i++)
    if (g_sequence_get_length (place_zone_at (placement, i)->rows_by_load) > 0)
      zones++;
  return MIN (zones, 1 + SUCCESSOR_MAX);
}

/* Updates */

/* Add LOAD, which may be negative, to the member in ROW.  */
void
place_add_load (struct placement *placement, guint32 row, gdouble load)
{
  struct place_member *member = place_member_at (placement, row);

  member->load += load;
  placement->total_load += load;
  if (member->load_iter != NULL)
    g_sequence_sort_changed (member->load_iter, place_compare_load, placement);
}

/* Exclude the member in ROW from place_least_loaded and place_most_loaded.  */
void
place_exclude (struct placement *placement, guint32 row)
{
  struct place_member *member = place_member_at (placement, row);

  if (member->load_iter == NULL)
    return;
  g_sequence_remove (member->load_iter);
  member->load_iter = NULL;
}

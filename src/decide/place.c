#include "decide/place.h"

/* The member in ROW.  */
struct place_member *
place_member_at (const struct placement *place, guint32 row)
{
  return &g_array_index (place->members, struct place_member, row);
}

/* The zone in ROW.  */
struct place_zone *
place_zone_at (const struct placement *place, guint32 row)
{
  return &g_array_index (place->zones, struct place_zone, row);
}

/* The row of NODE, or PLACE_NONE if it is no member.  */
guint32
place_find_row (const struct placement *place, struct handle node)
{
  guint32 index = handle_index (node);
  guint32 row;

  if (!handle_is_set (node) || index >= place->row_by_node->len)
    return PLACE_NONE;
  row = g_array_index (place->row_by_node, guint32, index);
  if (row == 0 || !handle_equal (place_member_at (place, row - 1)->node, node))
    return PLACE_NONE;
  return row - 1;
}

/* Order */

/* The load of MEMBER for each unit of its capacity.  */
gdouble
place_relative_load (const struct place_member *member)
{
  return member->load / member->capacity;
}

/* Compare two numbers, and rows where they are equal.  */
static gint
compare_numbers (gdouble a, gdouble b, guint32 left, guint32 right)
{
  if (a != b)
    return a < b ? -1 : 1;
  return left < right ? -1 : left > right;
}

/* Order rows by load.  */
gint
place_compare_load (gconstpointer a, gconstpointer b, gpointer data)
{
  guint32 left = GPOINTER_TO_UINT (a);
  guint32 right = GPOINTER_TO_UINT (b);

  return compare_numbers (place_relative_load (place_member_at (data, left)),
                          place_relative_load (place_member_at (data, right)),
                          left, right);
}

/* Order rows by successions.  */
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

/* Questions */

/* The mean load for each unit of capacity.  */
gdouble
place_mean_load (const struct placement *place)
{
  return place->live_capacity > 0 ? place->total_load / place->live_capacity
                                  : 0;
}

/* The live member with the least load for its capacity, or PLACE_NONE.  */
guint32
place_least_loaded (const struct placement *place)
{
  guint32 best = PLACE_NONE;
  guint32 i;

  for (i = 0; i < place->zones->len; i++)
    {
      GSequenceIter *first
          = g_sequence_get_begin_iter (place_zone_at (place, i)->rows_by_load);
      guint32 row;
      if (g_sequence_iter_is_end (first))
        continue;
      row = GPOINTER_TO_UINT (g_sequence_get (first));
      if (best == PLACE_NONE
          || place_relative_load (place_member_at (place, row))
                 < place_relative_load (place_member_at (place, best)))
        best = row;
    }
  return best;
}

/* The live member with the most load for its capacity among those that have
   not been set aside, or PLACE_NONE.  */
guint32
place_most_loaded (const struct placement *place)
{
  guint32 best = PLACE_NONE;
  guint32 i;

  for (i = 0; i < place->zones->len; i++)
    {
      GSequenceIter *end
          = g_sequence_get_end_iter (place_zone_at (place, i)->rows_by_load);
      guint32 row;
      if (g_sequence_iter_is_begin (end))
        continue;
      row = GPOINTER_TO_UINT (g_sequence_get (g_sequence_iter_prev (end)));
      if (best == PLACE_NONE
          || place_relative_load (place_member_at (place, row))
                 > place_relative_load (place_member_at (place, best)))
        best = row;
    }
  return best;
}

/* How many zones an owner and its successors can be spread over.  */
guint32
place_zone_spread (const struct placement *place)
{
  guint32 zones = 0;
  guint32 i;

  for (i = 0; i < place->zones->len; i++)
    if (g_sequence_get_length (place_zone_at (place, i)->rows_by_load) > 0)
      zones++;
  return MIN (zones, 1 + SUCCESSOR_MAX);
}

/* Changes */

/* Add LOAD, which may be negative, to the member in ROW.  */
void
place_add_load (struct placement *place, guint32 row, gdouble load)
{
  struct place_member *member = place_member_at (place, row);

  member->load += load;
  place->total_load += load;
  if (member->load_iter != NULL)
    g_sequence_sort_changed (member->load_iter, place_compare_load, place);
}

/* Leave the member in ROW out of place_least_loaded and place_most_loaded from
 * now on.  */
void
place_exclude (struct placement *place, guint32 row)
{
  struct place_member *member = place_member_at (place, row);

  if (member->load_iter == NULL)
    return;
  g_sequence_remove (member->load_iter);
  member->load_iter = NULL;
}

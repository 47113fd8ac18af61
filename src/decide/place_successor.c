#include "decide/place.h"

/* Return whether the member in ROW is on the same host as one of the COUNT
   members in TAKEN.  */
static gboolean
shares_host (const struct placement *placement, guint32 row,
             const guint32 *taken, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    if (place_member_at (placement, row)->host_hash
        == place_member_at (placement, taken[i])->host_hash)
      return TRUE;
  return FALSE;
}

/* Return whether one of the COUNT members in TAKEN is in ZONE.  */
static gboolean
zone_is_taken (const struct placement *placement, guint32 zone,
               const guint32 *taken, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    if (place_member_at (placement, taken[i])->zone_row == zone)
      return TRUE;
  return FALSE;
}

/* Return the row of the member of ZONE with the fewest successions for its
   capacity whose host is none of those of TAKEN, or PLACE_NONE.  */
static guint32
first_of_zone (const struct placement *placement, guint32 zone,
               const guint32 *taken, guint count)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (
      place_zone_at (placement, zone)->rows_by_successions);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      guint32 row = GPOINTER_TO_UINT (g_sequence_get (iter));
      if (!shares_host (placement, row, taken, count))
        return row;
    }
  return PLACE_NONE;
}

/* Return the row of the next successor after the COUNT members in TAKEN, or
   PLACE_NONE.  With NEW_ZONE it is in a zone that none of them is in.  */
static guint32
next_successor (const struct placement *placement, const guint32 *taken,
                guint count, gboolean new_zone)
{
  guint32 best = PLACE_NONE;
  guint32 i;

  for (i = 0; i < placement->zones->len; i++)
    {
      guint32 row;
      if (new_zone && zone_is_taken (placement, i, taken, count))
        continue;
      row = first_of_zone (placement, i, taken, count);
      if (row != PLACE_NONE
          && (best == PLACE_NONE
              || place_compare_successions (GUINT_TO_POINTER (row),
                                            GUINT_TO_POINTER (best),
                                            (gpointer)placement)
                     < 0))
        best = row;
    }
  return best;
}

/* Choose the successors of ITEM, owned by the member in row OWNER: on
   different hosts, in different zones as long as there are unused ones, and
   members with the fewest successions for their capacity first.  */
void
place_choose_successors (struct placement *placement, guint32 owner,
                         struct record_slice *item)
{
  guint32 taken[1 + SUCCESSOR_MAX] = { owner };
  guint count;

  for (count = 1; count < G_N_ELEMENTS (taken); count++)
    {
      guint32 row = next_successor (placement, taken, count, TRUE);
      struct place_member *member;
      if (row == PLACE_NONE)
        row = next_successor (placement, taken, count, FALSE);
      if (row == PLACE_NONE)
        return;
      member = place_member_at (placement, row);
      member->succession_count++;
      g_sequence_sort_changed (member->succession_iter,
                               place_compare_successions, placement);
      item->successors[count - 1] = member->incarnation;
      taken[count] = row;
    }
}

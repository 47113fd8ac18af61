#include "decide/place.h"

/* Tell whether the member in ROW stands on the host of one of the COUNT
   members in TAKEN.  */
static gboolean
shares_host (const struct placement *place, guint32 row, const guint32 *taken,
             guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    if (place_member_at (place, row)->host_hash
        == place_member_at (place, taken[i])->host_hash)
      return TRUE;
  return FALSE;
}

/* Tell whether one of the COUNT members in TAKEN is in ZONE.  */
static gboolean
zone_taken (const struct placement *place, guint32 zone, const guint32 *taken,
            guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    if (place_member_at (place, taken[i])->zone_row == zone)
      return TRUE;
  return FALSE;
}

/* The member of ZONE with the fewest successions that is on none of the hosts
   of TAKEN, or PLACE_NONE.  */
static guint32
next_of_zone (const struct placement *place, guint32 zone,
              const guint32 *taken, guint count)
{
  GSequenceIter *at = g_sequence_get_begin_iter (
      place_zone_at (place, zone)->rows_by_successions);

  for (; !g_sequence_iter_is_end (at); at = g_sequence_iter_next (at))
    {
      guint32 row = GPOINTER_TO_UINT (g_sequence_get (at));
      if (!shares_host (place, row, taken, count))
        return row;
    }
  return PLACE_NONE;
}

/* The next successor behind TAKEN: from a zone that TAKEN has not if FRESH is
   set, from any zone otherwise.  */
static guint32
next_successor (const struct placement *place, const guint32 *taken,
                guint count, gboolean fresh)
{
  guint32 best = PLACE_NONE;
  guint32 i;

  for (i = 0; i < place->zones->len; i++)
    {
      guint32 row;
      if (fresh && zone_taken (place, i, taken, count))
        continue;
      row = next_of_zone (place, i, taken, count);
      if (row != PLACE_NONE
          && (best == PLACE_NONE
              || place_compare_successions (GUINT_TO_POINTER (row),
                                            GUINT_TO_POINTER (best),
                                            (gpointer)place)
                     < 0))
        best = row;
    }
  return best;
}

/* Fill in the successors of ITEM, owned by the member in OWNER: on other
   hosts, each in a zone of its own while zones last, and those with the
   fewest successions first.  */
void
place_choose_successors (struct placement *place, guint32 owner,
                         struct record_slice *item)
{
  guint32 taken[1 + SUCCESSOR_MAX] = { owner };
  guint count;

  for (count = 1; count < G_N_ELEMENTS (taken); count++)
    {
      guint32 row = next_successor (place, taken, count, TRUE);
      struct place_member *member;
      if (row == PLACE_NONE)
        row = next_successor (place, taken, count, FALSE);
      if (row == PLACE_NONE)
        return;
      member = place_member_at (place, row);
      member->succession_count++;
      g_sequence_sort_changed (member->succession_iter,
                               place_compare_successions, place);
      item->successors[count - 1] = member->incarnation;
      taken[count] = row;
    }
}

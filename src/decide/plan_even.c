#include "decide/plan_batch.h"

#include <string.h>

#define EVEN_GAP 0.05        /* least gap that is closed, by the mean */
#define EVEN_GAIN 0.2        /* least gain of a move, by what it moves */
#define EVEN_SCAN_MAX 256u   /* slices of one member that are looked at */
#define EVEN_MOVES_MAX 512u  /* moves for balance under way at once */
#define NO_SLICE G_MAXUINT32 /* end of a chain */

/* The slices of each member that may be moved, chained.  */
struct even
{
  GArray *first; /* guint32 by member: its first slice */
  GArray *next;  /* guint32 by slice: the next one of the same owner */
};

/* Chain the slices that may be moved.  Return how many moves are under
   way.  */
static guint32
chain_slices (const struct place *place, const struct planner *planner,
              gint64 now, struct even *even)
{
  guint32 slices = place->service->slices->len;
  guint32 moving = 0;
  guint32 i;

  even->first
      = g_array_sized_new (FALSE, TRUE, sizeof (guint32), place->members->len);
  even->next = g_array_sized_new (FALSE, TRUE, sizeof (guint32), slices);
  g_array_set_size (even->first, place->members->len);
  g_array_set_size (even->next, slices);
  if (place->members->len > 0)
    memset (even->first->data, 0xff, place->members->len * sizeof (guint32));
  for (i = 0; i < slices; i++)
    {
      const struct view_slice *slice = view_slice_at (place->service, i);
      guint32 row = place_row (place, slice->owner);
      if (slice->move != 0 && !handle_equal (slice->to, slice->owner))
        moving++;
      if (row == PLACE_NONE || slice->move != 0 || place->planned->data[i]
          || planner_rests (planner, i, now))
        continue;
      g_array_index (even->next, guint32, i)
          = g_array_index (even->first, guint32, row);
      g_array_index (even->first, guint32, row) = i;
    }
  return moving;
}

/* How much the higher share of FROM and TO falls if WEIGHT moves.  */
static gdouble
gain_of (const struct place_member *from, const struct place_member *to,
         gdouble weight)
{
  gdouble before = place_share (from);
  gdouble after = MAX ((from->load - weight) / from->capacity,
                       (to->load + weight) / to->capacity);

  return before - after;
}

/* Take the slice out of the chain of FROM whose move to TO gains most, or
   NO_SLICE if none gains enough for its weight.  */
static guint32
take_best (const struct place *place, struct even *even, guint32 from,
           guint32 to)
{
  guint32 *link = &g_array_index (even->first, guint32, from);
  guint32 *best_link = NULL;
  guint32 best = NO_SLICE;
  gdouble best_gain = 0;
  guint32 seen;

  for (seen = 0; *link != NO_SLICE && seen < EVEN_SCAN_MAX; seen++)
    {
      gdouble weight = place_weight (place, *link);
      gdouble gain
          = gain_of (place_at (place, from), place_at (place, to), weight);
      if (gain > best_gain
          && gain > EVEN_GAIN * weight / place_at (place, from)->capacity)
        {
          best_gain = gain;
          best = *link;
          best_link = link;
        }
      link = &g_array_index (even->next, guint32, *link);
    }
  if (best != NO_SLICE)
    *best_link = g_array_index (even->next, guint32, best);
  return best;
}

/* Move slices from the most to the least loaded while the gap between them is
   wider than EVEN_GAP of the mean and a move closes enough of it.  */
void
plan_even (struct place *place, const struct planner *planner, gint64 now,
           struct plan_batch *batch)
{
  gdouble gap = place_mean (place) * EVEN_GAP;
  struct even even;
  guint32 moving = chain_slices (place, planner, now, &even);

  while (moving < EVEN_MOVES_MAX && !plan_batch_full (batch))
    {
      guint32 from = place_most (place);
      guint32 to = place_least (place);
      guint32 slice;
      if (from == PLACE_NONE || from == to
          || place_share (place_at (place, from))
                 <= place_share (place_at (place, to)) + gap)
        break;
      slice = take_best (place, &even, from, to);
      if (slice == NO_SLICE)
        {
          place_set_aside (place, from);
          continue;
        }
      plan_batch_add (batch, place, slice, to);
      moving++;
    }
  g_array_free (even.first, TRUE);
  g_array_free (even.next, TRUE);
}

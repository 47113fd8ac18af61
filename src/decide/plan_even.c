#include "decide/plan_pass.h"
#include "decide/timing.h"

#define EVEN_GAP 0.05       /* least gap that is closed, by the mean */
#define EVEN_GAIN 0.2       /* least gain of a move, by what it moves */
#define EVEN_SCAN_MAX 256u  /* slices of one member that are looked at */
#define EVEN_MOVES_MAX 512u /* moves for balance under way at once */

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
   CHAIN_END if none gains enough for its weight.  */
static guint32
take_best (struct planner *planner, guint32 from, guint32 to)
{
  const struct place_member *giver = place_at (&planner->place, from);
  const struct place_member *taker = place_at (&planner->place, to);
  guint32 *link = plan_chain_first (&planner->chain, from);
  guint32 *best_link = NULL;
  guint32 best = CHAIN_END;
  gdouble best_gain = 0;
  guint32 seen;

  for (seen = 0; *link != CHAIN_END && seen < EVEN_SCAN_MAX; seen++)
    {
      gdouble weight = planner_weight (planner, *link);
      gdouble gain = gain_of (giver, taker, weight);
      if (gain > best_gain && gain > EVEN_GAIN * weight / giver->capacity)
        {
          best_gain = gain;
          best = *link;
          best_link = link;
        }
      link = plan_chain_next (&planner->chain, *link);
    }
  if (best_link != NULL)
    *best_link = *plan_chain_next (&planner->chain, best);
  return best;
}

/* Tell whether SLICE is still as the pass saw it: owned by the member in
   OWNER and not moving.  */
static gboolean
is_same (const struct planner *planner, const struct view_slice *slice,
         guint32 owner)
{
  return slice != NULL && slice->move == 0
         && place_row (&planner->place, slice->owner) == owner;
}

/* Move one slice from the most to the least loaded member if the gap between
   them is wider than EVEN_GAP of the mean and a move closes enough of it.  A
   slice moved so rests, so that nothing goes to and fro.  Return FALSE when
   there is nothing more to move.  */
gboolean
plan_even (struct planner *planner, const struct view *view,
           const struct view_service *service, gint64 now,
           struct plan_batch *batch)
{
  struct place *place = &planner->place;
  guint32 from = place_most (place);
  guint32 to = plan_receiver (planner, view);
  const struct view_slice *entry;
  guint32 slice;

  if (planner->moving >= EVEN_MOVES_MAX || from == PLACE_NONE
      || to == PLACE_NONE || from == to
      || place_share (place_at (place, from))
             <= place_share (place_at (place, to))
                    + EVEN_GAP * place_mean (place))
    return FALSE;
  slice = take_best (planner, from, to);
  if (slice == CHAIN_END)
    {
      place_set_aside (place, from);
      return TRUE;
    }
  entry = view_slice_at (service, slice);
  if (!is_same (planner, entry, from))
    return TRUE;
  plan_batch_add (batch->moves, planner, entry, slice, to);
  planner_rest (planner, slice, now + BALANCE_COOLDOWN_USEC);
  planner->moving++;
  return TRUE;
}

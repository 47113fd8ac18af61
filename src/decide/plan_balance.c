#include "decide/plan_pass.h"
#include "decide/timing.h"

#define BALANCE_GAP_MIN 0.05   /* least gap that is closed, by the mean */
#define BALANCE_GAIN_MIN 0.2   /* least gain of a move, by what it moves */
#define BALANCE_SCAN_MAX 256u  /* slices of one member that are looked at */
#define BALANCE_MOVES_MAX 512u /* moves for balance under way at once */

/* How much the higher share of FROM and TO falls if WEIGHT moves.  */
static gdouble
gain_of (const struct place_member *from, const struct place_member *to,
         gdouble weight)
{
  gdouble before = place_relative_load (from);
  gdouble after = MAX ((from->load - weight) / from->capacity,
                       (to->load + weight) / to->capacity);

  return before - after;
}

/* Take the slice out of the chain of FROM whose move to TO gains most, or
   SLICE_LIST_END if none gains enough for its weight.  */
static guint32
take_best (struct planner *planner, guint32 from, guint32 to)
{
  const struct place_member *giver
      = place_member_at (&planner->placement, from);
  const struct place_member *taker = place_member_at (&planner->placement, to);
  guint32 *link = slice_list_first (&planner->candidates, from);
  guint32 *best_link = NULL;
  guint32 best = SLICE_LIST_END;
  gdouble best_gain = 0;
  guint32 seen;

  for (seen = 0; *link != SLICE_LIST_END && seen < BALANCE_SCAN_MAX; seen++)
    {
      gdouble weight = planner_slice_weight (planner, *link);
      gdouble gain = gain_of (giver, taker, weight);
      if (gain > best_gain
          && gain > BALANCE_GAIN_MIN * weight / giver->capacity)
        {
          best_gain = gain;
          best = *link;
          best_link = link;
        }
      link = slice_list_next (&planner->candidates, *link);
    }
  if (best_link != NULL)
    *best_link = *slice_list_next (&planner->candidates, best);
  return best;
}

/* Tell whether SLICE is still as the pass saw it: owned by the member in
   OWNER and not moving.  */
static gboolean
is_same (const struct planner *planner, const struct view_slice *slice,
         guint32 owner)
{
  return slice != NULL && slice->move_offset == 0
         && place_find_row (&planner->placement, slice->owner) == owner;
}

/* Move one slice from the most to the least loaded member if the gap between
   them is wider than BALANCE_GAP_MIN of the mean and a move closes enough of
   it.  A slice moved so rests, so that nothing goes to and fro.  Return FALSE
   when there is nothing more to move.  */
gboolean
plan_balance (struct planner *planner, const struct view *view,
              const struct view_service *service, gint64 now,
              struct plan_batch *batch)
{
  struct placement *place = &planner->placement;
  guint32 from = place_most_loaded (place);
  guint32 to = plan_least_loaded (planner, view);
  const struct view_slice *entry;
  guint32 slice;

  if (planner->pending_moves >= BALANCE_MOVES_MAX || from == PLACE_NONE
      || to == PLACE_NONE || from == to
      || place_relative_load (place_member_at (place, from))
             <= place_relative_load (place_member_at (place, to))
                    + BALANCE_GAP_MIN * place_mean_load (place))
    return FALSE;
  slice = take_best (planner, from, to);
  if (slice == SLICE_LIST_END)
    {
      place_exclude (place, from);
      return TRUE;
    }
  entry = view_slice_at (service, slice);
  if (!is_same (planner, entry, from))
    return TRUE;
  plan_batch_add (batch->moves, planner, entry, slice, to);
  planner_set_cooldown (planner, slice, now + BALANCE_COOLDOWN_USEC);
  planner->pending_moves++;
  return TRUE;
}

#include "decide/plan_pass.h"
#include "decide/timing.h"

#define EVEN_GAP                                                              \
  0.05 /* smallest gap that is closed, as a share of the mean load */
#define EVEN_GAIN                                                             \
  0.2 /* smallest gain of a move, as a share of the moved load */
#define EVEN_SCAN_MAX                                                         \
  256u /* slices of one member that are compared for one move */
#define EVEN_MOVES_MAX                                                        \
  512u /* most moves between members that may be pending at once */

/* Return by how much the higher of the relative loads of FROM and TO falls if
   a slice of WEIGHT moves from FROM to TO.  */
static gdouble
gain_of (const struct place_member *from, const struct place_member *to,
         gdouble weight)
{
  gdouble before = place_share (from);
  gdouble after = MAX ((from->load - weight) / from->capacity,
                       (to->load + weight) / to->capacity);

  return before - after;
}

/* Remove from the list of FROM the slice whose move to TO gains most, and
   return it.  Return SLICE_LIST_END if no move gains enough for its
   weight.  */
static guint32
remove_best (struct planner *planner, guint32 from, guint32 to)
{
  const struct place_member *source = place_at (&planner->place, from);
  const struct place_member *target = place_at (&planner->place, to);
  guint32 *link = plan_chain_first (&planner->chain, from);
  guint32 *best_link = NULL;
  guint32 best = CHAIN_END;
  gdouble best_gain = 0;
  guint32 scanned;

  for (scanned = 0; *link != CHAIN_END && scanned < EVEN_SCAN_MAX; scanned++)
    {
      gdouble weight = planner_weight (planner, *link);
      gdouble gain = gain_of (source, target, weight);
      if (gain > best_gain && gain > EVEN_GAIN * weight / source->capacity)
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

/* Return whether SLICE is unchanged since the pass looked at it: owned by the
   member in row OWNER and without a pending move.  */
static gboolean
is_unchanged (const struct planner *planner, const struct view_slice *slice,
              guint32 owner)
{
  return slice != NULL && slice->move == 0
         && place_row (&planner->place, slice->owner) == owner;
}

/* Move one slice from the most to the least loaded member if the gap between
   them exceeds BALANCE_GAP_MIN of the mean and the move closes enough of it.
   The slice then has a cooldown, so that slices do not move back and forth.
   Return FALSE once there is nothing more to move.  */
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
  slice = remove_best (planner, from, to);
  if (slice == CHAIN_END)
    {
      place_set_aside (place, from);
      return TRUE;
    }
  entry = view_slice_at (service, slice);
  if (!is_unchanged (planner, entry, from))
    return TRUE;
  plan_batch_add (batch->moves, planner, entry, slice, to);
  planner_rest (planner, slice, now + EVEN_REST_USEC);
  planner->moving++;
  return TRUE;
}

#include "decide/plan_pass.h"
#include "decide/timing.h"

#define BALANCE_GAP_MIN                                                       \
  0.05 /* smallest gap that is closed, as a share of the mean load */
#define BALANCE_GAIN_MIN                                                      \
  0.2 /* smallest gain of a move, as a share of the moved load */
#define BALANCE_SCAN_MAX                                                      \
  256u /* slices of one member that are compared for one move */
#define BALANCE_MOVES_MAX                                                     \
  512u /* most moves between members that may be pending at once */

/* Return by how much the higher of the relative loads of FROM and TO falls if
   a slice of WEIGHT moves from FROM to TO.  */
static gdouble
gain_of (const struct place_member *from, const struct place_member *to,
         gdouble weight)
{
  gdouble before = place_relative_load (from);
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
  const struct place_member *source
      = place_member_at (&planner->placement, from);
  const struct place_member *target
      = place_member_at (&planner->placement, to);
  guint32 *link = slice_list_first (&planner->candidates, from);
  guint32 *best_link = NULL;
  guint32 best = SLICE_LIST_END;
  gdouble best_gain = 0;
  guint32 scanned;

  for (scanned = 0; *link != SLICE_LIST_END && scanned < BALANCE_SCAN_MAX;
       scanned++)
    {
      gdouble weight = planner_slice_weight (planner, *link);
      gdouble gain = gain_of (source, target, weight);
      if (gain > best_gain
          && gain > BALANCE_GAIN_MIN * weight / source->capacity)
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

/* Return whether SLICE is unchanged since the pass looked at it: owned by the
   member in row OWNER and without a pending move.  */
static gboolean
is_unchanged (const struct planner *planner, const struct view_slice *slice,
              guint32 owner)
{
  return slice != NULL && slice->move_offset == 0
         && place_find_row (&planner->placement, slice->owner) == owner;
}

/* Move one slice from the most to the least loaded member if the gap between
   them exceeds BALANCE_GAP_MIN of the mean and the move closes enough of it.
   The slice then has a cooldown, so that slices do not move back and forth.
   Return FALSE once there is nothing more to move.  */
gboolean
plan_balance (struct planner *planner, const struct view *view,
              const struct view_service *service, gint64 now,
              struct plan_batch *batch)
{
  struct placement *placement = &planner->placement;
  guint32 from = place_most_loaded (placement);
  guint32 to = plan_least_loaded (planner, view);
  const struct view_slice *entry;
  guint32 slice;

  if (planner->pending_moves >= BALANCE_MOVES_MAX || from == PLACE_NONE
      || to == PLACE_NONE || from == to
      || place_relative_load (place_member_at (placement, from))
             <= place_relative_load (place_member_at (placement, to))
                    + BALANCE_GAP_MIN * place_mean_load (placement))
    return FALSE;
  slice = remove_best (planner, from, to);
  if (slice == SLICE_LIST_END)
    {
      place_exclude (placement, from);
      return TRUE;
    }
  entry = view_slice_at (service, slice);
  if (!is_unchanged (planner, entry, from))
    return TRUE;
  plan_batch_add (batch->moves, planner, entry, slice, to);
  planner_set_cooldown (planner, slice, now + BALANCE_COOLDOWN_USEC);
  planner->pending_moves++;
  return TRUE;
}

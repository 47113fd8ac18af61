#include "decide/plan_batch.h"

/* Initialise BATCH without slices.  */
void
plan_batch_init (struct plan_batch *batch)
{
  batch->assigns = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
  batch->moves = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
}

/* Free the memory of BATCH.  */
void
plan_batch_clear (struct plan_batch *batch)
{
  g_array_free (batch->assigns, TRUE);
  g_array_free (batch->moves, TRUE);
}

/* Return whether one of the records of BATCH holds PLAN_SLICES_MAX slices.  */
gboolean
plan_batch_is_full (const struct plan_batch *batch)
{
  return batch->assigns->len >= PLAN_SLICES_MAX
         || batch->moves->len >= PLAN_SLICES_MAX;
}

/* Append SLICE, whose number is NUMBER, to ITEMS.  The member in row OWNER
   becomes the owner.  Choose the successors, and adjust the load of the old
   and the new owner in the placement.  */
void
plan_batch_add (GArray *items, struct planner *planner,
                const struct view_slice *slice, guint32 number, guint32 owner)
{
  struct record_slice item = { .slice = number, .epoch = slice->epoch };
  struct placement *placement = &planner->placement;
  gdouble weight = planner_slice_weight (planner, number);
  guint32 from = place_find_row (placement, slice->owner);

  item.owner = place_member_at (placement, owner)->incarnation;
  if (from != owner)
    {
      if (from != PLACE_NONE)
        place_add_load (placement, from, -weight);
      place_add_load (placement, owner, weight);
    }
  place_choose_successors (placement, owner, &item);
  g_array_append_val (items, item);
}

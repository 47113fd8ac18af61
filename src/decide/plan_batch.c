#include "decide/plan_batch.h"

/* Set up an empty batch.  */
void
plan_batch_init (struct plan_batch *batch)
{
  batch->assigns = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
  batch->moves = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
}

/* Release what BATCH holds.  */
void
plan_batch_clear (struct plan_batch *batch)
{
  g_array_free (batch->assigns, TRUE);
  g_array_free (batch->moves, TRUE);
}

/* Tell whether a record of BATCH holds as many slices as it may.  */
gboolean
plan_batch_is_full (const struct plan_batch *batch)
{
  return batch->assigns->len >= PLAN_SLICES_MAX
         || batch->moves->len >= PLAN_SLICES_MAX;
}

/* Add SLICE, which has NUMBER, to ITEMS: the member in OWNER is to own it,
   with successors chosen here.  */
void
plan_batch_add (GArray *items, struct planner *planner,
                const struct view_slice *slice, guint32 number, guint32 owner)
{
  struct record_slice item = { .slice = number, .epoch = slice->epoch };
  struct placement *place = &planner->placement;
  gdouble weight = planner_slice_weight (planner, number);
  guint32 from = place_find_row (place, slice->owner);

  item.owner = place_member_at (place, owner)->incarnation;
  if (from != owner)
    {
      if (from != PLACE_NONE)
        place_add_load (place, from, -weight);
      place_add_load (place, owner, weight);
    }
  place_choose_successors (place, owner, &item);
  g_array_append_val (items, item);
}

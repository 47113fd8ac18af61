#include "decide/plan_batch.h"

#include "decide/timing.h"

/* Set up an empty batch.  */
void
plan_batch_init (struct plan_batch *batch)
{
  batch->kind = RECORD_MOVE;
  batch->even = 0;
  batch->items = g_array_new (FALSE, TRUE, sizeof (struct record_slice));
}

/* Release what BATCH holds.  */
void
plan_batch_clear (struct plan_batch *batch)
{
  g_array_free (batch->items, TRUE);
  batch->items = NULL;
}

/* Tell whether BATCH holds as many slices as one record may.  */
gboolean
plan_batch_full (const struct plan_batch *batch)
{
  return batch->items->len >= PLAN_SLICES_MAX;
}

/* Add SLICE to BATCH: the member in OWNER is to own it, with successors
   chosen here.  */
void
plan_batch_add (struct plan_batch *batch, struct place *place, guint32 slice,
                guint32 owner)
{
  const struct view_slice *entry = view_slice_at (place->service, slice);
  struct record_slice item = { .slice = slice, .epoch = entry->epoch };
  guint32 from = place_row (place, entry->owner);

  item.owner = place_at (place, owner)->incarnation;
  if (from != PLACE_NONE)
    place_add_load (place, from, -place_weight (place, slice));
  place_add_load (place, owner, place_weight (place, slice));
  place_successors (place, owner, &item);
  place->planned->data[slice] = TRUE;
  g_array_append_val (batch->items, item);
}

/* Let the slices that BATCH moves for balance rest from NOW on, so that none
   goes to and fro.  */
void
plan_batch_rest (const struct plan_batch *batch, struct planner *planner,
                 gint64 now)
{
  guint i;

  for (i = batch->even; i < batch->items->len; i++)
    planner_rest (planner,
                  g_array_index (batch->items, struct record_slice, i).slice,
                  now + EVEN_REST_USEC);
}

/* Fill BATCH with what VIEW wants for SERVICE: owners where there are none
   before anything else, then moves off nodes that leave, then successors
   where they are missing, then moves for balance.  A step is bounded by
   PLAN_SLICES_MAX slices beside one pass over members and slices.  */
void
plan_make (const struct planner *planner, const struct view *view,
           const struct view_service *service, gint64 now,
           struct plan_batch *batch)
{
  struct place place;

  place_init (&place, view, service, planner->weights);
  plan_assign (&place, batch);
  batch->even = batch->items->len;
  if (batch->items->len == 0)
    {
      plan_vacate (&place, batch);
      plan_respread (&place, batch);
      batch->even = batch->items->len;
      plan_even (&place, planner, now, batch);
    }
  place_clear (&place);
}

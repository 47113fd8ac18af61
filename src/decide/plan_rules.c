#include "decide/plan_batch.h"

/* Tell whether SLICE is hashed to or the slice of a hot key.  */
static gboolean
in_use (const struct view_service *service, guint32 slice)
{
  guint32 hot = slice - service->config.slices;

  if (slice < service->config.slices)
    return TRUE;
  return hot < service->hot->len
         && g_array_index (service->hot, struct view_hot, hot).key[0] != '\0';
}

/* Give an owner to the slices that have none.  */
void
plan_assign (struct place *place, struct plan_batch *batch)
{
  guint32 i;

  batch->kind = RECORD_ASSIGN;
  for (i = 0; i < place->service->slices->len && !plan_batch_full (batch); i++)
    {
      const struct view_slice *slice = view_slice_at (place->service, i);
      guint32 owner = place_least (place);
      if (owner == PLACE_NONE)
        break;
      if (!handle_is_set (slice->owner) && in_use (place->service, i))
        plan_batch_add (batch, place, i, owner);
    }
  if (batch->items->len == 0)
    batch->kind = RECORD_MOVE;
}

/* Move slices off nodes that leave, to the least loaded.  */
void
plan_vacate (struct place *place, struct plan_batch *batch)
{
  guint32 i;

  for (i = 0; i < place->service->slices->len && !plan_batch_full (batch); i++)
    {
      const struct view_slice *slice = view_slice_at (place->service, i);
      guint32 from = place_row (place, slice->owner);
      guint32 to = place_least (place);
      if (to == PLACE_NONE)
        return;
      if (from != PLACE_NONE && slice->move == 0
          && place_at (place, from)->leaving)
        plan_batch_add (batch, place, i, to);
    }
}

/* Successors */

/* Tell whether the member in ROW stands in one of the COUNT zones.  */
static gboolean
in_zones (const struct place *place, guint32 row, const guint32 *zones,
          guint32 count)
{
  guint32 i;

  for (i = 0; i < count; i++)
    if (zones[i] == place_at (place, row)->zone)
      return TRUE;
  return FALSE;
}

/* Tell whether the successors of SLICE are all live, as many as there can be,
   and spread over SPREAD zones together with its owner.  */
static gboolean
is_spread (const struct place *place, const struct view_slice *slice,
           guint32 spread)
{
  guint32 zones[1 + SUCCESSOR_MAX];
  guint32 wanted = MIN (SUCCESSOR_MAX, place->live - 1);
  guint32 found = 0;
  guint32 count = 1;
  guint32 i;

  zones[0] = place_at (place, place_row (place, slice->owner))->zone;
  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      guint32 row = place_row (place, slice->successor[i]);
      if (!handle_is_set (slice->successor[i]))
        continue;
      if (row == PLACE_NONE || !place_at (place, row)->live)
        return FALSE;
      found++;
      if (!in_zones (place, row, zones, count))
        zones[count++] = place_at (place, row)->zone;
    }
  return found >= wanted && count >= spread;
}

/* Name new successors where one is out or leaves or the spread is wanting: a
   move of the slice to its own owner.  */
void
plan_respread (struct place *place, struct plan_batch *batch)
{
  guint32 spread = place_spread (place);
  guint32 i;

  for (i = 0; i < place->service->slices->len && !plan_batch_full (batch); i++)
    {
      const struct view_slice *slice = view_slice_at (place->service, i);
      guint32 owner = place_row (place, slice->owner);
      if (owner == PLACE_NONE || slice->move != 0 || place->planned->data[i]
          || !place_at (place, owner)->live
          || is_spread (place, slice, spread))
        continue;
      plan_batch_add (batch, place, i, owner);
    }
}

#include "decide/planner.h"

#include "decide/timing.h"

#include <string.h>

/* Initialise a planner without a pass.  */
void
planner_init (struct planner *planner)
{
  memset (planner, 0, sizeof *planner);
  planner->slice_weights = g_array_new (FALSE, TRUE, sizeof (gdouble));
  planner->cooldown_until = g_array_new (FALSE, TRUE, sizeof (gint64));
}

/* Free the memory of PLANNER.  */
void
planner_clear (struct planner *planner)
{
  planner_end_pass (planner);
  g_array_free (planner->slice_weights, TRUE);
  g_array_free (planner->cooldown_until, TRUE);
  memset (planner, 0, sizeof *planner);
}

/* Return the weight of SLICE, 1 where none is known.  */
gdouble
planner_slice_weight (const struct planner *planner, guint32 slice)
{
  if (slice >= planner->slice_weights->len)
    return 1.0;
  return g_array_index (planner->slice_weights, gdouble, slice);
}

/* Return whether SLICE was moved for balance so recently that it is not moved
   again yet.  */
gboolean
planner_in_cooldown (const struct planner *planner, guint32 slice, gint64 now)
{
  return slice < planner->cooldown_until->len
         && now < g_array_index (planner->cooldown_until, gint64, slice);
}

/* Keep SLICE from being moved for balance until UNTIL, monotonic usec.  */
void
planner_set_cooldown (struct planner *planner, guint32 slice, gint64 until)
{
  if (slice >= planner->cooldown_until->len)
    g_array_set_size (planner->cooldown_until, slice + 1);
  g_array_index (planner->cooldown_until, gint64, slice) = until;
}

/* Begin a pass at NOW.  */
void
planner_begin_pass (struct planner *planner, gint64 now)
{
  planner_end_pass (planner);
  place_init (&planner->placement);
  slice_list_init (&planner->candidates);
  planner->stage = PLAN_ADD_MEMBERS;
  planner->cursor = 0;
  planner->pending_moves = 0;
  planner->changed = FALSE;
  planner->pass_expires_at = now + PLAN_PASS_TIMEOUT_USEC;
  planner->next_pass_at = now + PLAN_UNCHANGED_USEC;
}

/* End the pass, if one is running.  */
void
planner_end_pass (struct planner *planner)
{
  if (planner->stage == PLAN_IDLE)
    return;
  place_clear (&planner->placement);
  slice_list_clear (&planner->candidates);
  planner->stage = PLAN_IDLE;
}

/* Start the cooldown of the slices of SERVICE that BODY moves to another node,
   whichever node proposed the move.  */
static void
cool_down_moved (struct planner *planner, const struct view *view,
                 const struct view_service *service,
                 const struct record_slices *body, gint64 now)
{
  guint32 i;

  if (service == NULL || strcmp (service->config.name, body->service) != 0)
    return;
  for (i = 0; i < body->count; i++)
    {
      const struct record_slice *item = &body->items[i];
      const struct view_slice *slice = view_slice_at (service, item->slice);
      if (slice != NULL
          && view_incarnation (view, slice->owner) != item->owner)
        planner_set_cooldown (planner, item->slice,
                              now + BALANCE_COOLDOWN_USEC);
    }
}

/* Update PLANNER for RECORD, which is about to be applied to VIEW: the record
   may call for planning, or show that some planner of SERVICE is at work.
   SERVICE may be NULL.  */
void
planner_on_record (struct planner *planner, const struct view *view,
                   const struct view_service *service,
                   const struct record *record, gint64 now)
{
  switch (record->kind)
    {
    case RECORD_MOVE:
      cool_down_moved (planner, view, service, &record->body.slices, now);
      planner->changed_at = now;
      planner->changed = TRUE;
      break;
    case RECORD_ASSIGN:
    case RECORD_SUCCESSOR:
      planner->changed_at = now;
      planner->changed = TRUE;
      break;
    case RECORD_CONFIG:
    case RECORD_JOIN:
    case RECORD_LEAVING:
    case RECORD_REMOVED:
    case RECORD_MOVED:
    case RECORD_HOT_KEY:
      if (!planner->changed)
        planner->changed_at = now;
      planner->changed = TRUE;
      break;
    case RECORD_WITNESS_SET:
    case RECORD_SUSPECT:
    case RECORD_SNAPSHOT:
      break;
    }
}

#include "decide/planner.h"

#include "decide/timing.h"

#include <string.h>

/* Initialise a planner without a pass.  */
void
planner_init (struct planner *planner)
{
  memset (planner, 0, sizeof *planner);
  planner->weights = g_array_new (FALSE, TRUE, sizeof (gdouble));
  planner->rests = g_array_new (FALSE, TRUE, sizeof (gint64));
}

/* Free the memory of PLANNER.  */
void
planner_clear (struct planner *planner)
{
  planner_stop (planner);
  g_array_free (planner->weights, TRUE);
  g_array_free (planner->rests, TRUE);
  memset (planner, 0, sizeof *planner);
}

/* Return the weight of SLICE, 1 where none is known.  */
gdouble
planner_weight (const struct planner *planner, guint32 slice)
{
  if (slice >= planner->weights->len)
    return 1.0;
  return g_array_index (planner->weights, gdouble, slice);
}

/* Return whether SLICE was moved for balance so recently that it is not moved
   again yet.  */
gboolean
planner_rests (const struct planner *planner, guint32 slice, gint64 now)
{
  return slice < planner->rests->len
         && now < g_array_index (planner->rests, gint64, slice);
}

/* Keep SLICE from being moved for balance until UNTIL, monotonic usec.  */
void
planner_rest (struct planner *planner, guint32 slice, gint64 until)
{
  if (slice >= planner->rests->len)
    g_array_set_size (planner->rests, slice + 1);
  g_array_index (planner->rests, gint64, slice) = until;
}

/* Begin a pass at NOW.  */
void
planner_begin (struct planner *planner, gint64 now)
{
  planner_stop (planner);
  place_init (&planner->place);
  plan_chain_init (&planner->chain);
  planner->stage = PLAN_MEMBERS;
  planner->cursor = 0;
  planner->moving = 0;
  planner->changed = FALSE;
  planner->until = now + PLAN_PASS_USEC;
  planner->quiet = now + PLAN_QUIET_USEC;
}

/* End the pass, if one is running.  */
void
planner_stop (struct planner *planner)
{
  if (planner->stage == PLAN_IDLE)
    return;
  place_clear (&planner->place);
  plan_chain_clear (&planner->chain);
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
        planner_rest (planner, item->slice, now + EVEN_REST_USEC);
    }
}

/* Note RECORD, which is about to be applied to VIEW: whether it may call for
   planning, and whether it shows that some planner of SERVICE is at work.
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
      planner->wake = now;
      planner->changed = TRUE;
      break;
    case RECORD_ASSIGN:
    case RECORD_SUCCESSOR:
      planner->wake = now;
      planner->changed = TRUE;
      break;
    case RECORD_CONFIG:
    case RECORD_JOIN:
    case RECORD_LEAVING:
    case RECORD_OUT:
    case RECORD_MOVED:
    case RECORD_HOT:
      if (!planner->changed)
        planner->wake = now;
      planner->changed = TRUE;
      break;
    case RECORD_WITNESS:
    case RECORD_SUSPECT:
    case RECORD_SNAPSHOT:
      break;
    }
}

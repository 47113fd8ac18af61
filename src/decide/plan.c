#include "decide/plan.h"

#include "decide/core.h"
#include "decide/plan_pass.h"
#include "decide/slice.h"
#include "decide/timing.h"

#include <string.h>

#define PLANNERS_MAX 3u /* members that may come to plan */

/* The rank of this node among the live members of SERVICE, from 0;
   PLANNERS_MAX or more where it does not plan.  */
static guint32
rank_of_self (const struct core *core, const struct view_service *service)
{
  guint64 name = slice_hash_text (service->config.name);
  guint64 own = slice_rank (name, core->settings.incarnation);
  guint32 rank = 0;
  guint i;

  for (i = 0; i < service->members->len && rank < PLANNERS_MAX; i++)
    {
      const struct view_node *node = view_node_at (
          &core->view, g_array_index (service->members, struct handle, i));
      if (node->state == NODE_LIVE
          && slice_rank (name, node->join.incarnation) < own)
        rank++;
    }
  return rank;
}

/* Propose ITEMS of SERVICE in a record of KIND, if there are any.  */
static void
propose (struct core *core, const struct view_service *service,
         enum record_kind kind, const GArray *items, struct actions *out)
{
  struct log_event *log_event;
  struct record_slices *body;

  if (items->len == 0)
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id
      = kind == RECORD_ASSIGN ? LOG_EVENT_PLACE_ASSIGN : LOG_EVENT_PLACE_MOVE;
  log_event->amount = items->len;
  g_strlcpy (log_event->service, service->config.name,
             sizeof log_event->service);
  body = &outbox_propose (&core->outbox, kind)->body.slices;
  g_strlcpy (body->service, service->config.name, sizeof body->service);
  body->count = items->len;
  body->items
      = g_memdup2 (items->data, items->len * sizeof (struct record_slice));
}

/* Tell whether a pass is to begin.  The node of rank 0 begins when something
   changed, and after a while although nothing did, since weights change;
   another one only if something changed and no plan has come for
   PLAN_STAGGER_USEC for each rank before it.  */
static gboolean
is_due (struct planner *planner, const struct view_service *service,
        const struct core *core, gint64 now)
{
  guint32 rank;

  if (!planner->changed && now < planner->next_pass_at)
    return FALSE;
  rank = rank_of_self (core, service);
  if (rank == 0)
    return TRUE;
  if (rank < PLANNERS_MAX && planner->changed)
    return now >= planner->changed_at + rank * PLAN_STAGGER_USEC;
  planner->changed = FALSE;
  planner->next_pass_at = now + PLAN_UNCHANGED_USEC;
  return FALSE;
}

/* Go on planning for SERVICE and propose what comes of it.  */
static void
plan_service (struct core *core, const struct view_service *service,
              gint64 now, struct actions *out)
{
  struct planner *planner = &core->planner;
  struct plan_batch batch;

  if (planner->stage != PLAN_IDLE && now >= planner->pass_expires_at)
    planner_end_pass (planner);
  if (planner->stage == PLAN_IDLE)
    {
      if (!is_due (planner, service, core, now))
        return;
      planner_begin_pass (planner, now);
      meter_compute_weights (&core->meter, service->slices->len,
                             planner->slice_weights);
    }
  plan_batch_init (&batch);
  plan_advance (planner, &core->view, service, now, PLAN_STEP_UNITS, &batch);
  propose (core, service, RECORD_ASSIGN, batch.assigns, out);
  propose (core, service, RECORD_MOVE, batch.moves, out);
  plan_batch_clear (&batch);
}

/* Plan if the members have settled and what was proposed has been read
   back.  */
void
plan_step (struct core *core, gint64 now, struct actions *out)
{
  const struct view_service *service;

  if (!core->has_reached_log_end || !handle_is_set (core->self)
      || now < core->settled_at || outbox_has (&core->outbox, RECORD_ASSIGN)
      || outbox_has (&core->outbox, RECORD_MOVE))
    return;
  service = view_find_service (&core->view, core->settings.service);
  if (service != NULL && service->configured && service->config.sharded)
    plan_service (core, service, now, out);
}

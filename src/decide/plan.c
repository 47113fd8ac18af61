#include "decide/plan.h"

#include "decide/core.h"
#include "decide/plan_pass.h"
#include "decide/slice.h"
#include "decide/timing.h"

#include <string.h>

#define PLANNERS_MAX 3u /* members that may act as planner */

/* Return the rank of this node among the live members of SERVICE, counted from
   0.  A node whose rank is PLANNERS_MAX or more never plans.  */
static guint32
planner_rank (const struct core *core, const struct view_service *service)
{
  guint64 name_hash = slice_hash_text (service->config.name);
  guint64 own_rank = slice_rank (name_hash, core->settings.incarnation);
  guint32 rank = 0;
  guint i;

  for (i = 0; i < service->members->len && rank < PLANNERS_MAX; i++)
    {
      const struct view_node *node = view_node_at (
          &core->view, g_array_index (service->members, struct handle, i));
      if (node->state == NODE_LIVE
          && slice_rank (name_hash, node->join.incarnation) < own_rank)
        rank++;
    }
  return rank;
}

/* Propose ITEMS, slices of SERVICE, in a record of KIND.  Without items
   nothing is proposed.  */
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

/* Return whether a planning pass is to begin.  The node of rank 0 begins one
   after a change, and every PLAN_UNCHANGED_USEC without a change because the
   slice weights drift.  A node of higher rank begins only after a change, and
   only if no plan has been read for PLAN_STAGGER_USEC for each rank below its
   own: it stands in for a planner that has failed.  */
static gboolean
pass_is_due (struct planner *planner, const struct view_service *service,
             const struct core *core, gint64 now)
{
  guint32 rank;

  if (!planner->changed && now < planner->next_pass_at)
    return FALSE;
  rank = planner_rank (core, service);
  if (rank == 0)
    return TRUE;
  if (rank < PLANNERS_MAX && planner->changed)
    return now >= planner->changed_at + rank * PLAN_STAGGER_USEC;
  planner->changed = FALSE;
  planner->next_pass_at = now + PLAN_UNCHANGED_USEC;
  return FALSE;
}

/* Continue the pass over SERVICE, or begin one if it is due, and propose the
   assignments and moves that it yields.  */
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
      if (!pass_is_due (planner, service, core, now))
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

/* Run one step of planning.  Nothing is planned before the membership has
   settled, or while an earlier proposal has not been read back from the
   log.  */
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

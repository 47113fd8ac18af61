#include "decide/plan.h"

#include "decide/core.h"
#include "decide/plan_batch.h"
#include "decide/slice.h"
#include "decide/timing.h"

#include <string.h>

#define PLANNERS 3u /* members that may come to plan */

/* The rank of this node among the live members of SERVICE, from 0; PLANNERS
   or more where it does not plan.  */
static guint32
rank_of_self (const struct core *core, const struct view_service *service)
{
  guint64 name = slice_hash_text (service->config.name);
  guint64 own = slice_rank (name, core->settings.incarnation);
  guint32 rank = 0;
  guint i;

  for (i = 0; i < service->members->len && rank < PLANNERS; i++)
    {
      const struct view_node *node = view_node_at (
          &core->view, g_array_index (service->members, struct handle, i));
      if (node->state == NODE_LIVE
          && slice_rank (name, node->join.incarnation) < own)
        rank++;
    }
  return rank;
}

/* Propose what BATCH holds for SERVICE.  */
static void
propose (struct core *core, const struct view_service *service,
         const struct plan_batch *batch, struct actions *out)
{
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;
  struct record_slices *body;

  note->id
      = batch->kind == RECORD_ASSIGN ? NOTE_PLACE_ASSIGN : NOTE_PLACE_MOVE;
  note->amount = batch->items->len;
  g_strlcpy (note->service, service->config.name, sizeof note->service);
  body = &outbox_propose (&core->outbox, batch->kind)->body.slices;
  g_strlcpy (body->service, service->config.name, sizeof body->service);
  body->count = batch->items->len;
  body->items = g_memdup2 (batch->items->data,
                           batch->items->len * sizeof (struct record_slice));
}

/* Tell whether it is this node's turn to propose BATCH, which is not empty.
   The node of rank 0 does so at once; another one only if what stands out
   first has stood out for PLAN_STAGGER_USEC for each rank before it.  */
static gboolean
is_due (struct planner *planner, const struct plan_batch *batch, guint32 rank,
        gint64 now)
{
  const struct record_slice *first
      = &g_array_index (batch->items, struct record_slice, 0);
  guint64 head = slice_rank (first->epoch, first->slice);

  if (planner->act_at == 0 || planner->head != head)
    planner->act_at = now + rank * PLAN_STAGGER_USEC;
  planner->head = head;
  return now >= planner->act_at;
}

/* Make a plan for SERVICE and propose it if it is this node's turn.  */
static void
plan_service (struct core *core, const struct view_service *service,
              guint32 rank, gint64 now, struct actions *out)
{
  struct planner *planner = &core->planner;
  struct plan_batch batch;

  plan_batch_init (&batch);
  plan_make (planner, &core->view, service, now, &batch);
  if (batch.items->len == 0)
    {
      planner->act_at = 0;
      planner->seen = core->view.next;
      planner->next_quiet = now + PLAN_QUIET_USEC;
    }
  else if (is_due (planner, &batch, rank, now))
    {
      planner->act_at = 0;
      plan_batch_rest (&batch, planner, now);
      propose (core, service, &batch, out);
    }
  plan_batch_clear (&batch);
}

/* Plan, if it is time, the members have settled and this node ranks high
   enough.  */
void
plan_step (struct core *core, gint64 now, struct actions *out)
{
  struct planner *planner = &core->planner;
  const struct view_service *service;
  guint32 rank;

  if (now < planner->next || now < core->settled_at
      || !handle_is_set (core->self)
      || (planner->seen == core->view.next && now < planner->next_quiet))
    return;
  planner->next = now + PLAN_EVERY_USEC;
  service = view_find_service (&core->view, core->settings.service);
  if (service == NULL || !service->configured || !service->config.divided
      || outbox_has (&core->outbox, RECORD_ASSIGN)
      || outbox_has (&core->outbox, RECORD_MOVE))
    return;
  rank = rank_of_self (core, service);
  if (rank < PLANNERS)
    plan_service (core, service, rank, now, out);
}

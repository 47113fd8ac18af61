#include "scenarios/world.h"

#include "decide/slice.h"
#include "scenarios/check.h"

#include <string.h>

/* Requests between callers, nodes and backend servers.  */

#define CALLER_DELAY_USEC 1000 /* between a caller or server and its node */
#define SERVER_RESTART_USEC 1000000 /* restart time of a crashed server */
#define SUBMISSIONS_MAX 200000      /* most submissions in one simulation */

/* Callers */

/* Return submission I.  */
static struct submission *
submission_at (const struct world *world, guint i)
{
  return &g_array_index (world->submissions, struct submission, i);
}

/* Schedule the answer to submission I at AT.  */
static struct sim_event *
schedule_answer (struct world *world, gint64 at, guint i, enum outcome outcome,
                 enum reason reason)
{
  struct sim_event *scheduled
      = world_schedule (world, at, SIM_EVENT_ANSWER, 0);

  scheduled->index = i;
  scheduled->outcome = outcome;
  scheduled->reason = reason;
  return scheduled;
}

/* Submit REQUEST to node N for a caller and return the index of the
   submission. A request id that was offered a stamp is submitted under that
   stamp. IS_PROBE marks a probe of the runner.  */
guint
world_submit (struct world *world, guint n, const struct request *request,
              gboolean is_probe)
{
  const struct stamp *stamp = g_hash_table_lookup (world->stamps, request->id);
  struct submission submission
      = { .sent_at = world->now, .is_probe = is_probe };
  struct event event = { .kind = EVENT_REQUEST };
  struct sim_exchange *exchange;
  struct sim_event *scheduled;
  guint i = world->submissions->len;

  g_assert (i < SUBMISSIONS_MAX);
  g_strlcpy (submission.id, request->id, sizeof submission.id);
  g_strlcpy (submission.key, request->key, sizeof submission.key);
  g_array_append_val (world->submissions, submission);
  if (!world->nodes[n].alive)
    {
      schedule_answer (world, world->now + CALLER_DELAY_USEC, i,
                       OUTCOME_NOT_RUN, REASON_PEER_LOST);
      return i;
    }
  event.u.request.exchange = table_add (&world->exchanges);
  event.u.request.request = *request;
  if (stamp != NULL)
    event.u.request.request.stamp = *stamp;
  exchange = table_get (&world->exchanges, event.u.request.exchange);
  exchange->node = n;
  exchange->node_incarnation = world->nodes[n].incarnation;
  exchange->request = event.u.request.request;
  exchange->submission = i;
  world->nodes[n].exchange_count++;
  scheduled = world_schedule (world, world->now + CALLER_DELAY_USEC,
                              SIM_EVENT_CORE, n);
  scheduled->core_event = event;
  schedule_answer (world, request->deadline + CALLER_DELAY_USEC, i,
                   OUTCOME_UNKNOWN, REASON_DEADLINE);
  return i;
}

/* Deliver an answer to its caller; later answers are ignored.  The first stamp
   offered for a request id is kept and used when the id is submitted
   again.  */
void
world_deliver_answer (struct world *world, const struct sim_event *scheduled)
{
  struct submission *submission = submission_at (world, scheduled->index);

  if (submission->answered)
    return;
  submission->answered = TRUE;
  submission->answered_at = world->now;
  submission->outcome = scheduled->outcome;
  submission->reason = scheduled->reason;
  check_submission (world, scheduled->index);
  if (scheduled->reason == REASON_NO_STAMP && scheduled->stamp.time_usec != 0
      && !g_hash_table_contains (world->stamps, submission->id))
    g_hash_table_insert (
        world->stamps, g_strdup (submission->id),
        g_memdup2 (&scheduled->stamp, sizeof scheduled->stamp));
}

/* Between nodes */

/* Remove exchange H and update the count of its node.  */
static void
remove_exchange (struct world *world, struct handle h)
{
  const struct sim_exchange *exchange = table_get (&world->exchanges, h);
  struct sim_node *node = &world->nodes[exchange->node];

  if (node->incarnation == exchange->node_incarnation
      && node->exchange_count > 0)
    node->exchange_count--;
  table_remove (&world->exchanges, h);
}

/* Return the outcome of exchange H to the node that forwarded the request, or
   to the caller.  The outcome is lost if the link is cut.  */
static void
return_outcome (struct world *world, struct handle h, enum outcome outcome,
                enum reason reason, const struct stamp *stamp)
{
  const struct sim_exchange *exchange = table_get (&world->exchanges, h);
  const struct sim_exchange *origin
      = table_get (&world->exchanges, exchange->forwarded_from);
  struct sim_event *scheduled;

  if (!handle_is_set (exchange->forwarded_from))
    scheduled = schedule_answer (world, world->now + CALLER_DELAY_USEC,
                                 exchange->submission, outcome, reason);
  else if (origin == NULL
           || !fake_net_is_connected (&world->net, exchange->node,
                                      origin->node))
    return;
  else
    {
      scheduled = world_schedule (
          world, world->now + fake_net_draw_delay (&world->net),
          SIM_EVENT_ATTEMPT_ENDED, origin->node);
      scheduled->handle = exchange->forwarded_from;
      scheduled->core_event.u.request.exchange = h;
      scheduled->outcome = outcome;
      scheduled->reason = reason;
    }
  if (stamp != NULL)
    scheduled->stamp = *stamp;
}

/* End a node's attempt at a request, and return the answer if the request is
   done.  */
void
world_end_attempt (struct world *world, const struct sim_event *scheduled)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, scheduled->handle);
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  if (exchange == NULL
      || !handle_equal (exchange->forwarded_to,
                        scheduled->core_event.u.request.exchange))
    return;
  exchange->forwarded_to = HANDLE_NONE;
  event.u.attempt_ended.exchange = scheduled->handle;
  event.u.attempt_ended.outcome = scheduled->outcome;
  event.u.attempt_ended.reason = scheduled->reason;
  event.u.attempt_ended.body_replayable = TRUE;
  event.u.attempt_ended.stamp = scheduled->stamp;
  world_deliver (world, scheduled->node, &event);
  if (scheduled->outcome != OUTCOME_DONE
      || table_get (&world->exchanges, scheduled->handle) == NULL)
    return;
  return_outcome (world, scheduled->handle, OUTCOME_DONE, REASON_NONE, NULL);
  remove_exchange (world, scheduled->handle);
}

/* End a request that a core answers itself, without the answer of a
   server.  */
void
world_end_exchange (struct world *world, const struct action *action)
{
  const struct action_answer *answer = &action->u.answer;

  if (table_get (&world->exchanges, answer->exchange) == NULL)
    return;
  return_outcome (world, answer->exchange, answer->outcome, answer->reason,
                  &answer->stamp);
  remove_exchange (world, answer->exchange);
}

/* Drop all exchanges of node N, whose process ends, with an unknown
   outcome.  */
void
world_drop_exchanges (struct world *world, guint n)
{
  struct handle h = table_next (&world->exchanges, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&world->exchanges, h))
    {
      const struct sim_exchange *exchange = table_get (&world->exchanges, h);
      if (exchange->node != n
          || exchange->node_incarnation != world->nodes[n].incarnation)
        continue;
      return_outcome (world, h, OUTCOME_UNKNOWN, REASON_PEER_LOST, NULL);
      remove_exchange (world, h);
    }
}

/* Servers */

/* Record that the server beside node N begins to run EXCHANGE.  */
static void
record_run (struct world *world, guint n, const struct sim_exchange *exchange,
            struct fence fence)
{
  struct fake_run run = { .node = n,
                          .fence = fence,
                          .started_at = world->now,
                          .submission = exchange->submission,
                          .slice = exchange->request.slice,
                          .run_class = exchange->request.run_class };

  g_strlcpy (run.id, exchange->request.id, sizeof run.id);
  g_strlcpy (run.key, exchange->request.key, sizeof run.key);
  g_array_append_val (world->runs, run);
  submission_at (world, exchange->submission)->was_run = TRUE;
  check_submission (world, exchange->submission);
}

/* Schedule the end, at AT, of the attempt at exchange H by the server beside
   node N.  */
static void
schedule_run_end (struct world *world, guint n, struct handle h, gint64 at,
                  enum outcome outcome, enum reason reason)
{
  struct sim_event *scheduled
      = world_schedule (world, at, SIM_EVENT_RUN_ENDED, n);

  scheduled->handle = h;
  scheduled->outcome = outcome;
  scheduled->reason = reason;
}

/* Crash the server beside node N and schedule its restart.  */
static void
crash_server (struct world *world, guint n)
{
  struct fake_server *server = &world->nodes[n].server;
  struct event event
      = { .kind = EVENT_SERVER_DOWN, .u.server_down.not_listening = TRUE };

  world->crash_count++;
  server->up = FALSE;
  server->restart_at = world->now + SERVER_RESTART_USEC;
  world_schedule (world, world->now, SIM_EVENT_CORE, n)->core_event = event;
  world_schedule (world, server->restart_at, SIM_EVENT_SERVER_UP, n);
}

/* Pass a request to the server beside node N.  */
void
world_start_run (struct world *world, guint n, const struct action_run *action)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, action->exchange);
  struct fake_server *server = &world->nodes[n].server;
  const struct view_service *service
      = view_find_service (&world->nodes[n].core.view, WORLD_SERVICE);

  if (exchange == NULL)
    return;
  if (world->slice_count > 0)
    exchange->request.slice = slice_of_key (service, exchange->request.key);
  switch (fake_server_receive (server, &exchange->request, action->fence))
    {
    case FAKE_SERVER_RUNS:
      record_run (world, n, exchange, action->fence);
      schedule_run_end (world, n, action->exchange,
                        world->now + server->work_usec, OUTCOME_DONE,
                        REASON_NONE);
      break;
    case FAKE_SERVER_REFUSES:
      schedule_run_end (world, n, action->exchange,
                        world->now + CALLER_DELAY_USEC, OUTCOME_NOT_RUN,
                        REASON_FENCE_REFUSED);
      break;
    case FAKE_SERVER_CRASHES:
      record_run (world, n, exchange, action->fence);
      schedule_run_end (world, n, action->exchange,
                        world->now + CALLER_DELAY_USEC, OUTCOME_UNKNOWN,
                        REASON_SERVER_DOWN);
      crash_server (world, n);
      break;
    case FAKE_SERVER_DOWN:
      schedule_run_end (world, n, action->exchange,
                        world->now + CALLER_DELAY_USEC, OUTCOME_NOT_RUN,
                        REASON_SERVER_DOWN);
      break;
    }
}

/* Process the end of a run by the server beside a node.  */
void
world_end_run (struct world *world, const struct sim_event *scheduled)
{
  world_end_attempt (world, scheduled);
}

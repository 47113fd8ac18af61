#include "scenarios/world.h"

#include "decide/slice.h"
#include "scenarios/check.h"

#include <string.h>

/* Requests on their way between callers, nodes and servers.  */

#define CALLER_USEC 1000          /* between a caller and its node */
#define SERVER_AGAIN_USEC 1000000 /* a server that crashed starts again */
#define SENDINGS_MAX 200000       /* of one world */

/* The caller's side */

/* The sending numbered I.  */
static struct submission *
sending_at (const struct world *world, guint i)
{
  return &g_array_index (world->submissions, struct submission, i);
}

/* Let the caller of sending I have its answer at AT.  */
static struct sim_event *
add_answer (struct world *world, gint64 at, guint i, enum outcome outcome,
            enum reason reason)
{
  struct sim_event *sim_event
      = world_schedule (world, at, SIM_EVENT_ANSWER, 0);

  sim_event->index = i;
  sim_event->outcome = outcome;
  sim_event->reason = reason;
  return sim_event;
}

/* A caller sends BODY to node N.  It holds on to the stamp under which it
   first sent the id.  Return the number of the sending.  */
guint
world_submit (struct world *world, guint n, const struct request *body,
              gboolean probe)
{
  const struct stamp *stamp = g_hash_table_lookup (world->stamps, body->id);
  struct submission submission = { .sent_at = world->now, .is_probe = probe };
  struct event event = { .kind = EVENT_REQUEST };
  struct sim_exchange *exchange;
  struct sim_event *sim_event;
  guint i = world->submissions->len;

  g_assert (i < SENDINGS_MAX);
  g_strlcpy (submission.id, body->id, sizeof submission.id);
  g_strlcpy (submission.key, body->key, sizeof submission.key);
  g_array_append_val (world->submissions, submission);
  if (!world->nodes[n].alive)
    {
      add_answer (world, world->now + CALLER_USEC, i, OUTCOME_NOT_RUN,
                  REASON_PEER_LOST);
      return i;
    }
  event.u.request.exchange = table_add (&world->exchanges);
  event.u.request.request = *body;
  if (stamp != NULL)
    event.u.request.request.stamp = *stamp;
  exchange = table_get (&world->exchanges, event.u.request.exchange);
  exchange->node = n;
  exchange->node_incarnation = world->nodes[n].incarnation;
  exchange->request = event.u.request.request;
  exchange->submission = i;
  world->nodes[n].exchange_count++;
  sim_event
      = world_schedule (world, world->now + CALLER_USEC, SIM_EVENT_CORE, n);
  sim_event->core_event = event;
  add_answer (world, body->deadline + CALLER_USEC, i, OUTCOME_UNKNOWN,
              REASON_DEADLINE);
  return i;
}

/* An answer reaches the caller.  One that was offered a stamp sends again
   under it, unless it has sent under another one.  */
void
world_deliver_answer (struct world *world, const struct sim_event *sim_event)
{
  struct submission *submission = sending_at (world, sim_event->index);

  if (submission->answered)
    return;
  submission->answered = TRUE;
  submission->answered_at = world->now;
  submission->outcome = sim_event->outcome;
  submission->reason = sim_event->reason;
  check_submission (world, sim_event->index);
  if (sim_event->reason == REASON_NO_STAMP && sim_event->stamp.time_usec != 0
      && !g_hash_table_contains (world->stamps, submission->id))
    g_hash_table_insert (
        world->stamps, g_strdup (submission->id),
        g_memdup2 (&sim_event->stamp, sizeof sim_event->stamp));
}

/* Between nodes */

/* Remove an exchange.  */
static void
drop (struct world *world, struct handle h)
{
  const struct sim_exchange *exchange = table_get (&world->exchanges, h);
  struct sim_node *node = &world->nodes[exchange->node];

  if (node->incarnation == exchange->node_incarnation
      && node->exchange_count > 0)
    node->exchange_count--;
  table_remove (&world->exchanges, h);
}

/* Tell where the exchange H came from how it ended.  */
static void
pass_back (struct world *world, struct handle h, enum outcome outcome,
           enum reason reason, const struct stamp *stamp)
{
  const struct sim_exchange *exchange = table_get (&world->exchanges, h);
  const struct sim_exchange *origin
      = table_get (&world->exchanges, exchange->forwarded_from);
  struct sim_event *sim_event;

  if (!handle_is_set (exchange->forwarded_from))
    sim_event = add_answer (world, world->now + CALLER_USEC,
                            exchange->submission, outcome, reason);
  else if (origin == NULL
           || !fake_net_is_connected (&world->net, exchange->node,
                                      origin->node))
    return;
  else
    {
      sim_event = world_schedule (
          world, world->now + fake_net_draw_delay (&world->net),
          SIM_EVENT_ATTEMPT_ENDED, origin->node);
      sim_event->handle = exchange->forwarded_from;
      sim_event->core_event.u.request.exchange = h;
      sim_event->outcome = outcome;
      sim_event->reason = reason;
    }
  if (stamp != NULL)
    sim_event->stamp = *stamp;
}

/* The attempt that a node made for an exchange has ended.  */
void
world_end_attempt (struct world *world, const struct sim_event *sim_event)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, sim_event->handle);
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  if (exchange == NULL
      || !handle_equal (exchange->forwarded_to,
                        sim_event->core_event.u.request.exchange))
    return;
  exchange->forwarded_to = HANDLE_NONE;
  event.u.ended.exchange = sim_event->handle;
  event.u.ended.outcome = sim_event->outcome;
  event.u.ended.reason = sim_event->reason;
  event.u.ended.body_replayable = TRUE;
  event.u.ended.stamp = sim_event->stamp;
  world_deliver (world, sim_event->node, &event);
  if (sim_event->outcome != OUTCOME_DONE
      || table_get (&world->exchanges, sim_event->handle) == NULL)
    return;
  pass_back (world, sim_event->handle, OUTCOME_DONE, REASON_NONE, NULL);
  drop (world, sim_event->handle);
}

/* A core ends a request without an answer of a server.  */
void
world_end_exchange (struct world *world, const struct action *action)
{
  const struct action_answer *answer = &action->u.answer;

  if (table_get (&world->exchanges, answer->exchange) == NULL)
    return;
  pass_back (world, answer->exchange, answer->outcome, answer->reason,
             &answer->stamp);
  drop (world, answer->exchange);
}

/* The process of node N ends: what was in its hands is lost.  */
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
      pass_back (world, h, OUTCOME_UNKNOWN, REASON_PEER_LOST, NULL);
      drop (world, h);
    }
}

/* Servers */

/* Record that the server beside node N begins to run the exchange.  */
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
  sending_at (world, exchange->submission)->was_run = TRUE;
  check_submission (world, exchange->submission);
}

/* Let the attempt of exchange H at the server beside N end at AT.  */
static void
end_run (struct world *world, guint n, struct handle h, gint64 at,
         enum outcome outcome, enum reason reason)
{
  struct sim_event *sim_event
      = world_schedule (world, at, SIM_EVENT_RUN_ENDED, n);

  sim_event->handle = h;
  sim_event->outcome = outcome;
  sim_event->reason = reason;
}

/* The server beside node N stops on a request, and starts again later.  */
static void
crash (struct world *world, guint n)
{
  struct fake_server *server = &world->nodes[n].server;
  struct event event
      = { .kind = EVENT_SERVER_DOWN, .u.server_down.not_listening = TRUE };

  world->crash_count++;
  server->up = FALSE;
  server->restart_at = world->now + SERVER_AGAIN_USEC;
  world_schedule (world, world->now, SIM_EVENT_CORE, n)->core_event = event;
  world_schedule (world, server->restart_at, SIM_EVENT_SERVER_UP, n);
}

/* Have the server beside node N run a request.  */
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
      end_run (world, n, action->exchange, world->now + server->work_usec,
               OUTCOME_DONE, REASON_NONE);
      break;
    case FAKE_SERVER_REFUSES:
      end_run (world, n, action->exchange, world->now + CALLER_USEC,
               OUTCOME_NOT_RUN, REASON_FENCE_REFUSED);
      break;
    case FAKE_SERVER_CRASHES:
      record_run (world, n, exchange, action->fence);
      end_run (world, n, action->exchange, world->now + CALLER_USEC,
               OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
      crash (world, n);
      break;
    case FAKE_SERVER_DOWN:
      end_run (world, n, action->exchange, world->now + CALLER_USEC,
               OUTCOME_NOT_RUN, REASON_SERVER_DOWN);
      break;
    }
}

/* The server beside a node has done with an exchange.  */
void
world_end_run (struct world *world, const struct sim_event *sim_event)
{
  world_end_attempt (world, sim_event);
}

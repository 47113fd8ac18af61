#include "scenarios/world.h"

#include "decide/slice.h"
#include "scenarios/check.h"

#include <string.h>

/* Requests between callers, nodes and backend servers.  */

#define CALLER_USEC 1000          /* between a caller or server and its node */
#define SERVER_AGAIN_USEC 1000000 /* restart time of a crashed server */
#define SENDINGS_MAX 200000       /* most submissions in one simulation */

/* Callers */

/* Return submission I.  */
static struct sending *
sending_at (const struct world *world, guint i)
{
  return &g_array_index (world->sendings, struct sending, i);
}

/* Schedule the answer to submission I at AT.  */
static struct moment *
add_answer (struct world *world, gint64 at, guint i, enum outcome outcome,
            enum reason reason)
{
  struct moment *moment = world_add (world, at, MOMENT_ANSWER, 0);

  moment->sending = i;
  moment->outcome = outcome;
  moment->reason = reason;
  return moment;
}

/* Submit BODY to node N for a caller and return the index of the submission.
   A request id that was offered a stamp is submitted under that stamp.
   IS_PROBE marks a probe of the runner.  */
guint
world_request (struct world *world, guint n, const struct request *body,
               gboolean probe)
{
  const struct stamp *stamp = g_hash_table_lookup (world->stamps, body->id);
  struct sending sending = { .sent = world->now, .probe = probe };
  struct event event = { .kind = EVENT_REQUEST };
  struct sim_exchange *exchange;
  struct moment *moment;
  guint i = world->sendings->len;

  g_assert (i < SENDINGS_MAX);
  g_strlcpy (sending.id, body->id, sizeof sending.id);
  g_strlcpy (sending.key, body->key, sizeof sending.key);
  g_array_append_val (world->sendings, sending);
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
  exchange->incarnation = world->nodes[n].incarnation;
  exchange->request = event.u.request.request;
  exchange->sending = i;
  world->nodes[n].exchanges++;
  moment = world_add (world, world->now + CALLER_USEC, MOMENT_EVENT, n);
  moment->event = event;
  add_answer (world, body->deadline + CALLER_USEC, i, OUTCOME_UNKNOWN,
              REASON_DEADLINE);
  return i;
}

/* Deliver an answer to its caller; later answers are ignored.  The first stamp
   offered for a request id is kept and used when the id is submitted
   again.  */
void
world_answer (struct world *world, const struct moment *moment)
{
  struct sending *sending = sending_at (world, moment->sending);

  if (sending->answered)
    return;
  sending->answered = TRUE;
  sending->answered_at = world->now;
  sending->outcome = moment->outcome;
  sending->reason = moment->reason;
  check_sending (world, moment->sending);
  if (moment->reason == REASON_NO_STAMP && moment->stamp.time_usec != 0
      && !g_hash_table_contains (world->stamps, sending->id))
    g_hash_table_insert (world->stamps, g_strdup (sending->id),
                         g_memdup2 (&moment->stamp, sizeof moment->stamp));
}

/* Between nodes */

/* Remove exchange H and update the count of its node.  */
static void
drop (struct world *world, struct handle h)
{
  const struct sim_exchange *exchange = table_get (&world->exchanges, h);
  struct sim_node *node = &world->nodes[exchange->node];

  if (node->incarnation == exchange->incarnation && node->exchanges > 0)
    node->exchanges--;
  table_remove (&world->exchanges, h);
}

/* Return the outcome of exchange H to the node that forwarded the request, or
   to the caller.  The outcome is lost if the link is cut.  */
static void
pass_back (struct world *world, struct handle h, enum outcome outcome,
           enum reason reason, const struct stamp *stamp)
{
  const struct sim_exchange *exchange = table_get (&world->exchanges, h);
  const struct sim_exchange *origin
      = table_get (&world->exchanges, exchange->origin);
  struct moment *moment;

  if (!handle_is_set (exchange->origin))
    moment = add_answer (world, world->now + CALLER_USEC, exchange->sending,
                         outcome, reason);
  else if (origin == NULL
           || !fake_net_passes (&world->net, exchange->node, origin->node))
    return;
  else
    {
      moment = world_add (world, world->now + fake_net_time (&world->net),
                          MOMENT_ENDED, origin->node);
      moment->handle = exchange->origin;
      moment->event.u.request.exchange = h;
      moment->outcome = outcome;
      moment->reason = reason;
    }
  if (stamp != NULL)
    moment->stamp = *stamp;
}

/* End a node's attempt at a request, and return the answer if the request is
   done.  */
void
world_ended (struct world *world, const struct moment *moment)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, moment->handle);
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  if (exchange == NULL
      || !handle_equal (exchange->onward, moment->event.u.request.exchange))
    return;
  exchange->onward = HANDLE_NONE;
  event.u.ended.exchange = moment->handle;
  event.u.ended.outcome = moment->outcome;
  event.u.ended.reason = moment->reason;
  event.u.ended.body_replayable = TRUE;
  event.u.ended.stamp = moment->stamp;
  world_feed (world, moment->node, &event);
  if (moment->outcome != OUTCOME_DONE
      || table_get (&world->exchanges, moment->handle) == NULL)
    return;
  pass_back (world, moment->handle, OUTCOME_DONE, REASON_NONE, NULL);
  drop (world, moment->handle);
}

/* End a request that a core answers itself, without the answer of a
   server.  */
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

/* Drop all exchanges of node N, whose process ends, with an unknown
   outcome.  */
void
world_lose_exchanges (struct world *world, guint n)
{
  struct handle h = table_next (&world->exchanges, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&world->exchanges, h))
    {
      const struct sim_exchange *exchange = table_get (&world->exchanges, h);
      if (exchange->node != n
          || exchange->incarnation != world->nodes[n].incarnation)
        continue;
      pass_back (world, h, OUTCOME_UNKNOWN, REASON_PEER_LOST, NULL);
      drop (world, h);
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
                          .begun = world->now,
                          .sending = exchange->sending,
                          .slice = exchange->request.slice,
                          .run_class = exchange->request.run_class };

  g_strlcpy (run.id, exchange->request.id, sizeof run.id);
  g_strlcpy (run.key, exchange->request.key, sizeof run.key);
  g_array_append_val (world->runs, run);
  sending_at (world, exchange->sending)->ran = TRUE;
  check_sending (world, exchange->sending);
}

/* Schedule the end, at AT, of the attempt at exchange H by the server beside
   node N.  */
static void
end_run (struct world *world, guint n, struct handle h, gint64 at,
         enum outcome outcome, enum reason reason)
{
  struct moment *moment = world_add (world, at, MOMENT_RAN, n);

  moment->handle = h;
  moment->outcome = outcome;
  moment->reason = reason;
}

/* Crash the server beside node N and schedule its restart.  */
static void
crash (struct world *world, guint n)
{
  struct fake_server *server = &world->nodes[n].server;
  struct event event
      = { .kind = EVENT_SERVER_DOWN, .u.server_down.not_listening = TRUE };

  world->crashes++;
  server->up = FALSE;
  server->up_at = world->now + SERVER_AGAIN_USEC;
  world_add (world, world->now, MOMENT_EVENT, n)->event = event;
  world_add (world, server->up_at, MOMENT_SERVER_UP, n);
}

/* Pass a request to the server beside node N.  */
void
world_run (struct world *world, guint n, const struct action_run *action)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, action->exchange);
  struct fake_server *server = &world->nodes[n].server;
  const struct view_service *service
      = view_find_service (&world->nodes[n].core.view, WORLD_SERVICE);

  if (exchange == NULL)
    return;
  if (world->slices > 0)
    exchange->request.slice = slice_of_key (service, exchange->request.key);
  switch (fake_server_take (server, &exchange->request, action->fence))
    {
    case FAKE_RUNS:
      record_run (world, n, exchange, action->fence);
      end_run (world, n, action->exchange, world->now + server->work,
               OUTCOME_DONE, REASON_NONE);
      break;
    case FAKE_REFUSES:
      end_run (world, n, action->exchange, world->now + CALLER_USEC,
               OUTCOME_NOT_RUN, REASON_FENCE_REFUSED);
      break;
    case FAKE_CRASHES:
      record_run (world, n, exchange, action->fence);
      end_run (world, n, action->exchange, world->now + CALLER_USEC,
               OUTCOME_UNKNOWN, REASON_SERVER_DOWN);
      crash (world, n);
      break;
    case FAKE_DOWN:
      end_run (world, n, action->exchange, world->now + CALLER_USEC,
               OUTCOME_NOT_RUN, REASON_SERVER_DOWN);
      break;
    }
}

/* Process the end of a run by the server beside a node.  */
void
world_ran (struct world *world, const struct moment *moment)
{
  world_ended (world, moment);
}

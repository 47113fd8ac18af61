#include "decide/route.h"

#include "decide/admit.h"
#include "decide/breaker.h"
#include "decide/core.h"
#include "decide/flight.h"
#include "decide/pick.h"
#include "decide/reply.h"
#include "decide/silence.h"
#include "decide/slice.h"
#include "decide/timing.h"

#include <string.h>

/* Dispatch */

/* Forward the request EXCHANGE to the node in PICK.  */
static void
forward (struct core *core, struct handle exchange, const struct pick *pick,
         gint64 now, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  const struct view_node *peer = view_node_at (&core->view, pick->node);
  struct action_forward *action;
  struct note *note;

  breaker_on_sent (table_mirror (&core->breakers, pick->node), now);
  peer_load_on_sent (table_mirror (&core->loads, pick->node));
  flight->sent = now;
  flight->phase = FLIGHT_FORWARDED;
  flight->peer = peer->join.incarnation;
  flight->request.attempt++;
  note = reply_note (out, NOTE_ROUTE_FORWARD, &flight->request);
  note->node = flight->peer;
  note->offset = pick->fence.offset;
  action = &actions_add (out, ACTION_FORWARD)->u.forward;
  action->exchange = exchange;
  action->peer = flight->peer;
  action->to = peer->join.peer;
  action->front = peer->join.front;
  action->request = flight->request;
  action->fence = pick->fence;
}

/* Schedule the request EXCHANGE for another attempt, or end it as not run for
   REASON if it has no time or attempts left.  */
static void
retry_or_end (struct core *core, struct handle exchange, enum reason reason,
              gint64 now, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  guint64 random = slice_rank (core->settings.seed, ++core->draws);
  gint64 retry_at = now + retry_wait (flight->tries, random);

  if (flight->request.from_peer || flight->tries >= RETRY_TRIES_MAX
      || retry_at >= flight->request.deadline)
    {
      reply_not_run (core, exchange, reason, out);
      return;
    }
  flight->phase = FLIGHT_WAITING;
  flight->retry_at = retry_at;
  reply_note (out, NOTE_ROUTE_RETRY, &flight->request)->code = reason;
}

/* Handle the request EXCHANGE for which no node was picked, for REASON.  */
static void
end_without_node (struct core *core, struct handle exchange,
                  enum reason reason, gint64 now, struct actions *out)
{
  struct reply_end unknown = { OUTCOME_UNKNOWN, reason, { 0 }, 0 };

  switch (reason)
    {
    case REASON_NO_RULE:
      reply_not_run (core, exchange, reason, out);
      break;
    case REASON_OLD_STAMP:
      reply_send (core, exchange, &unknown, out);
      break;
    default:
      retry_or_end (core, exchange, reason, now, out);
      break;
    }
}

/* End the request EXCHANGE if its digest is quarantined.  Return whether it
   was ended.  */
static gboolean
end_quarantined (struct core *core, struct handle exchange, gint64 now,
                 struct actions *out)
{
  const struct flight *flight = table_get (&core->flights, exchange);

  if (!suspects_has_quarantined (&core->suspects, flight->request.digest, now))
    return FALSE;
  reply_note (out, NOTE_QUARANTINE, &flight->request);
  reply_not_run (core, exchange, REASON_QUARANTINED, out);
  return TRUE;
}

/* Send the request EXCHANGE to the node that is to serve it now.  */
static void
send_to_node (struct core *core, struct handle exchange, gint64 now,
              struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  struct pick pick;

  if (end_quarantined (core, exchange, now, out))
    return;
  pick = pick_node (core, &flight->request, &flight->past, now);
  flight->tries++;
  flight->past.owner_lost = FALSE;
  flight->fence = pick.fence;
  switch (pick.kind)
    {
    case PICK_OWN:
      admit_request (core, exchange, now, out);
      break;
    case PICK_PEER:
      forward (core, exchange, &pick, now, out);
      break;
    case PICK_NONE:
      end_without_node (core, exchange, pick.reason, now, out);
      break;
    }
}

/* Events */

/* Handle a request that arrived.  */
void
route_request (struct core *core, const struct event_request *event,
               gint64 now, struct actions *out)
{
  struct flight *flight = table_mirror (&core->flights, event->exchange);

  flight->request = event->request;
  if (!event->request.from_peer)
    retry_budget_earn (&core->retries);
  send_to_node (core, event->exchange, now, out);
}

/* Remove the id of INFLIGHT from the dedup table if its attempt here has not
   run.  */
static void
forget_if_not_run (struct core *core, struct flight *flight,
                   enum outcome outcome)
{
  if (!flight->remembered || outcome != OUTCOME_NOT_RUN)
    return;
  once_forget (&core->once, &flight->request);
  flight->remembered = FALSE;
}

/* End a request with the outcome of its last attempt.  */
static void
end_like_attempt (struct core *core, const struct event_ended *event,
                  struct actions *out)
{
  struct reply_end end = { .outcome = event->outcome,
                           .reason = event->reason,
                           .stamp = event->stamp,
                           .retry_msec = event->retry_msec };

  reply_send (core, event->exchange, &end, out);
}

/* Update the circuit breaker of the node that had INFLIGHT from the end of the
   attempt, and remember that node as failed.  A node without a backend server
   counts as unreachable.  */
static void
update_reachability (struct core *core, struct flight *flight,
                     const struct event_ended *event, gint64 now,
                     struct actions *out)
{
  struct handle node = view_find_node (&core->view, flight->peer);
  gboolean lost = event->reason == REASON_PEER_LOST
                  || event->reason == REASON_SERVER_DOWN;
  struct breaker *breaker;
  struct note *note;

  if (event->reason == REASON_DEADLINE || !handle_is_set (node))
    return;
  flight->past.owner_lost = event->reason == REASON_PEER_LOST;
  flight->past.avoid = node;
  breaker = table_mirror (&core->breakers, node);
  if (!breaker_on_ended (breaker, lost ? BREAKER_LOST : BREAKER_REACHED, now))
    return;
  note = &actions_add (out, ACTION_NOTE)->u.note;
  note->id = NOTE_ROUTE_BREAKER;
  note->node = flight->peer;
  note->code = event->reason;
}

/* Return whether the request of INFLIGHT is sent again after EVENT.  */
static gboolean
wants_retry (struct core *core, const struct flight *flight,
             const struct event_ended *event)
{
  return retry_is_safe (&flight->request, event)
         && (!retry_is_charged (event) || retry_budget_spend (&core->retries));
}

/* Handle an attempt that ended without a complete answer.  */
static void
handle_failure (struct core *core, struct flight *flight,
                const struct event_ended *event, gint64 now,
                struct actions *out)
{
  reply_note (out,
              event->reason == REASON_REFUSED_GRANT ? NOTE_SERVER_REFUSED
                                                    : NOTE_ROUTE_ENDED,
              &flight->request)
      ->code
      = event->reason;
  forget_if_not_run (core, flight, event->outcome);
  if (event->outcome == OUTCOME_UNKNOWN)
    flight->may_have_run = TRUE;
  if (wants_retry (core, flight, event))
    retry_or_end (core, event->exchange, event->reason, now, out);
  else
    end_like_attempt (core, event, out);
}

/* Handle the end of an attempt.  */
void
route_ended (struct core *core, const struct event_ended *event, gint64 now,
             struct actions *out)
{
  struct flight *flight = table_get (&core->flights, event->exchange);

  if (flight == NULL)
    return;
  if (flight->phase == FLIGHT_RUNNING)
    admit_ended (core, flight, event, now);
  route_learn_load (core, flight, FALSE, now);
  if (flight->phase == FLIGHT_FORWARDED)
    update_reachability (core, flight, event, now, out);
  if (event->outcome == OUTCOME_DONE)
    table_remove (&core->flights, event->exchange);
  else
    handle_failure (core, flight, event, now, out);
  admit_next (core, now, out);
}

/* Cancel the request EXCHANGE, whose caller or peer has disconnected.  */
void
route_gone (struct core *core, struct handle exchange, gint64 now,
            struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);

  if (flight == NULL)
    return;
  reply_note (out, NOTE_ROUTE_CANCELLED, &flight->request);
  gate_forget (&core->gate, exchange);
  route_learn_load (core, flight, TRUE, now);
  if (flight->phase == FLIGHT_RUNNING)
    gate_release (&core->gate);
  else if (flight->remembered)
    once_forget (&core->once, &flight->request);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  table_remove (&core->flights, exchange);
  admit_next (core, now, out);
}

/* Send the requests that are due for another attempt, probe the nodes that let
   a request wait, and end the requests whose deadline passed in the queue.  */
void
route_step (struct core *core, gint64 now, struct actions *out)
{
  struct handle h;

  while (gate_expire (&core->gate, now, &h))
    if (table_get (&core->flights, h) != NULL)
      reply_not_run (core, h, REASON_DEADLINE, out);
  h = table_next (&core->flights, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&core->flights, h))
    {
      const struct flight *flight = table_get (&core->flights, h);
      if (flight->phase == FLIGHT_WAITING && flight->retry_at <= now)
        send_to_node (core, h, now, out);
      else if (flight->phase == FLIGHT_FORWARDED
               && now - flight->sent >= SILENCE_PROBE_AFTER_USEC)
        silence_probe (core, flight->peer, now, out);
    }
  admit_next (core, now, out);
}

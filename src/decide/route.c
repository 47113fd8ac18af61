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

/* Ways */

/* Pass the request EXCHANGE on to the node that was picked.  */
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

/* Let the request EXCHANGE wait and be routed again, or end it as not run for
   REASON if it has no time or tries left.  */
static void
wait_or_end (struct core *core, struct handle exchange, enum reason reason,
             gint64 now, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  guint64 draw = slice_rank (core->settings.seed, ++core->draws);
  gint64 retry_at = now + retry_wait (flight->tries, draw);

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

/* No node was picked for the request EXCHANGE, for REASON.  */
static void
end_unpicked (struct core *core, struct handle exchange, enum reason reason,
              gint64 now, struct actions *out)
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
      wait_or_end (core, exchange, reason, now, out);
      break;
    }
}

/* End the request EXCHANGE if requests like it crash servers.  Return whether
   it was ended.  */
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

/* Send the request EXCHANGE to where it belongs now.  */
static void
dispatch (struct core *core, struct handle exchange, gint64 now,
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
      end_unpicked (core, exchange, pick.reason, now, out);
      break;
    }
}

/* Events */

/* A request arrived.  */
void
route_request (struct core *core, const struct event_request *event,
               gint64 now, struct actions *out)
{
  struct flight *flight = table_mirror (&core->flights, event->exchange);

  flight->request = event->request;
  if (!event->request.from_peer)
    retry_budget_earn (&core->retries);
  dispatch (core, event->exchange, now, out);
}

/* Forget the id of FLIGHT if its attempt here has not run.  */
static void
forget_not_run (struct core *core, struct flight *flight, enum outcome outcome)
{
  if (!flight->remembered || outcome != OUTCOME_NOT_RUN)
    return;
  once_forget (&core->once, &flight->request);
  flight->remembered = FALSE;
}

/* End a request as its last attempt ended.  */
static void
end_as (struct core *core, const struct event_ended *event,
        struct actions *out)
{
  struct reply_end end = { .outcome = event->outcome,
                           .reason = event->reason,
                           .stamp = event->stamp,
                           .retry_msec = event->retry_msec };

  reply_send (core, event->exchange, &end, out);
}

/* Learn from an attempt at another node whether that can be reached, and has
   a server.  */
static void
learn_reach (struct core *core, struct flight *flight,
             const struct event_ended *event, gint64 now, struct actions *out)
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

/* Tell whether the request of FLIGHT is sent again after EVENT.  */
static gboolean
wants_retry (struct core *core, const struct flight *flight,
             const struct event_ended *event)
{
  return retry_is_safe (&flight->request, event)
         && (!retry_is_charged (event) || retry_budget_spend (&core->retries));
}

/* An attempt ended without a whole answer.  */
static void
take_failure (struct core *core, struct flight *flight,
              const struct event_ended *event, gint64 now, struct actions *out)
{
  reply_note (out,
              event->reason == REASON_REFUSED_GRANT ? NOTE_SERVER_REFUSED
                                                    : NOTE_ROUTE_ENDED,
              &flight->request)
      ->code
      = event->reason;
  forget_not_run (core, flight, event->outcome);
  if (event->outcome == OUTCOME_UNKNOWN)
    flight->may_have_run = TRUE;
  if (wants_retry (core, flight, event))
    wait_or_end (core, event->exchange, event->reason, now, out);
  else
    end_as (core, event, out);
}

/* An attempt ended.  */
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
    learn_reach (core, flight, event, now, out);
  if (event->outcome == OUTCOME_DONE)
    table_remove (&core->flights, event->exchange);
  else
    take_failure (core, flight, event, now, out);
  admit_next (core, now, out);
}

/* The caller or peer of EXCHANGE went away: its work is cancelled.  */
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

/* Route the requests whose wait is over, and end those whose deadline passed
   in the queue.  */
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
        dispatch (core, h, now, out);
      else if (flight->phase == FLIGHT_FORWARDED
               && now - flight->sent >= SILENCE_PROBE_AFTER_USEC)
        silence_probe (core, flight->peer, now, out);
    }
  admit_next (core, now, out);
}

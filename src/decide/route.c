#include "decide/route.h"

#include "decide/core.h"
#include "decide/flight.h"
#include "decide/pick.h"
#include "decide/timing.h"

#include <string.h>

#define TRIES_MAX 6u /* attempts from one node for one request */

/* Notes and answers */

/* Add a note about REQUEST; good until the next action.  */
static struct note *
note_request (struct actions *out, enum note_id id,
              const struct request *request)
{
  struct note *note = &actions_add (out, ACTION_NOTE)->u.note;

  note->id = id;
  g_strlcpy (note->service, request->service, sizeof note->service);
  g_strlcpy (note->key, request->key, sizeof note->key);
  g_strlcpy (note->text, request->id, sizeof note->text);
  note->slice = request->slice;
  note->has_slice = request->key[0] != '\0';
  return note;
}

/* End the request EXCHANGE with OUTCOME and forget it.  */
static void
answer (struct core *core, struct handle exchange, enum outcome outcome,
        enum reason reason, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  struct action_answer *action;

  note_request (out, NOTE_ROUTE_REFUSED, &flight->request)->code = reason;
  action = &actions_add (out, ACTION_ANSWER)->u.answer;
  action->exchange = exchange;
  action->outcome = outcome;
  action->reason = reason;
  table_remove (&core->flights, exchange);
}

/* Have the server run the request EXCHANGE, which holds a slot.  */
static void
run (struct core *core, struct handle exchange, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  struct action_run *action;
  struct note *note;

  flight->phase = FLIGHT_RUNNING;
  note = note_request (out, NOTE_ROUTE_OWN, &flight->request);
  note->offset = flight->fence.offset;
  action = &actions_add (out, ACTION_RUN)->u.run;
  action->exchange = exchange;
  action->attempt_id = ++core->attempt;
  action->fence = flight->fence;
  action->deadline = flight->request.deadline;
}

/* Ways */

/* Bring the request EXCHANGE to the server beside this node.  */
static void
admit (struct core *core, struct handle exchange, gint64 now,
       struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  enum reason reason = REASON_NONE;

  switch (gate_admit (&core->gate, exchange, &flight->request, now, &reason))
    {
    case GATE_RUN:
      run (core, exchange, out);
      break;
    case GATE_WAIT:
      flight->phase = FLIGHT_QUEUED;
      note_request (out, NOTE_ROUTE_QUEUED, &flight->request);
      break;
    case GATE_REFUSE:
      answer (core, exchange, OUTCOME_NOT_RUN, reason, out);
      break;
    }
}

/* Pass the request EXCHANGE on to NODE.  */
static void
forward (struct core *core, struct handle exchange, struct handle node,
         struct fence fence, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  const struct view_node *peer = view_node_at (&core->view, node);
  struct action_forward *action;
  struct note *note;

  flight->phase = FLIGHT_FORWARDED;
  flight->peer = peer->join.incarnation;
  flight->request.attempt++;
  note = note_request (out, NOTE_ROUTE_FORWARD, &flight->request);
  note->node = flight->peer;
  note->offset = fence.offset;
  action = &actions_add (out, ACTION_FORWARD)->u.forward;
  action->exchange = exchange;
  action->peer = flight->peer;
  action->to = peer->join.peer;
  action->request = flight->request;
  action->fence = fence;
}

/* Let the request EXCHANGE wait and be routed again, or end it as not run for
   REASON if it has no time or tries left.  */
static void
wait_or_end (struct core *core, struct handle exchange, enum reason reason,
             gint64 now, struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);

  if (flight->request.from_peer || flight->tries >= TRIES_MAX
      || now + RETRY_AFTER_USEC >= flight->request.deadline)
    {
      answer (core, exchange, OUTCOME_NOT_RUN, reason, out);
      return;
    }
  flight->phase = FLIGHT_WAITING;
  flight->retry_at = now + RETRY_AFTER_USEC * (1 << flight->tries);
  note_request (out, NOTE_ROUTE_RETRY, &flight->request)->code = reason;
}

/* Send the request EXCHANGE to where it belongs now.  */
static void
dispatch (struct core *core, struct handle exchange, gint64 now,
          struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  struct pick pick = pick_node (core, &flight->request, flight->tries, now);

  flight->tries++;
  flight->fence = pick.fence;
  switch (pick.kind)
    {
    case PICK_OWN:
      admit (core, exchange, now, out);
      break;
    case PICK_PEER:
      forward (core, exchange, pick.node, pick.fence, out);
      break;
    case PICK_NONE:
      if (pick.reason == REASON_NO_RULE)
        answer (core, exchange, OUTCOME_NOT_RUN, pick.reason, out);
      else
        wait_or_end (core, exchange, pick.reason, now, out);
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
  dispatch (core, event->exchange, now, out);
}

/* Give the slots that are free to requests that wait.  */
static void
run_next (struct core *core, struct actions *out)
{
  struct handle next;

  while (gate_next (&core->gate, &next))
    if (table_get (&core->flights, next) != NULL)
      run (core, next, out);
    else
      gate_release (&core->gate);
}

/* Tell whether an attempt that ended so may be followed by another one.  */
static gboolean
may_retry (const struct flight *flight, const struct event_ended *event)
{
  if (!event->replayable || flight->request.from_peer)
    return FALSE;
  switch (event->outcome)
    {
    case OUTCOME_DONE:
      return FALSE;
    case OUTCOME_NOT_RUN:
      return event->reason == REASON_NOT_OWNER || event->reason == REASON_LEASE
             || event->reason == REASON_PEER_LOST
             || event->reason == REASON_DRAINING
             || event->reason == REASON_SERVER_DOWN;
    case OUTCOME_UNKNOWN:
      return flight->request.run_class == RUN_IDEMPOTENT;
    }
  return FALSE;
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
    gate_release (&core->gate);
  if (event->outcome == OUTCOME_DONE)
    table_remove (&core->flights, event->exchange);
  else
    {
      note_request (out, NOTE_ROUTE_ENDED, &flight->request)->code
          = event->reason;
      if (may_retry (flight, event))
        wait_or_end (core, event->exchange, event->reason, now, out);
      else
        answer (core, event->exchange, event->outcome, event->reason, out);
    }
  run_next (core, out);
}

/* The caller or peer of EXCHANGE went away: its work is cancelled.  */
void
route_gone (struct core *core, struct handle exchange, gint64 now,
            struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);

  (void)now;
  if (flight == NULL)
    return;
  note_request (out, NOTE_ROUTE_CANCELLED, &flight->request);
  gate_forget (&core->gate, exchange);
  if (flight->phase == FLIGHT_RUNNING)
    gate_release (&core->gate);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  table_remove (&core->flights, exchange);
  run_next (core, out);
}

/* Route the requests whose wait is over, and end those whose deadline passed
   in the queue.  */
void
route_step (struct core *core, gint64 now, struct actions *out)
{
  struct handle h;

  while (gate_expire (&core->gate, now, &h))
    if (table_get (&core->flights, h) != NULL)
      answer (core, h, OUTCOME_NOT_RUN, REASON_DEADLINE, out);
  h = table_next (&core->flights, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&core->flights, h))
    {
      const struct flight *flight = table_get (&core->flights, h);
      if (flight->phase == FLIGHT_WAITING && flight->retry_at <= now)
        dispatch (core, h, now, out);
    }
  run_next (core, out);
}

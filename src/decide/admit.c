#include "decide/admit.h"

#include "decide/core.h"
#include "decide/flight.h"
#include "decide/own.h"
#include "decide/reply.h"

/* The service of REQUEST.  */
static const struct view_service *
service_of (const struct core *core, const struct request *request)
{
  return view_find_service (&core->view, request->service);
}

/* The stamp that this node gives out for FLIGHT at NOW.  */
static struct stamp
fresh_stamp (const struct core *core, const struct flight *flight, gint64 now)
{
  struct stamp stamp = { core->settings.incarnation, now, flight->fence };

  return stamp;
}

/* Have the server run the request EXCHANGE, which holds a slot.  */
static void
run (struct core *core, struct handle exchange, gint64 now,
     struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  struct action_run *action;
  struct note *note;

  flight->phase = FLIGHT_RUNNING;
  flight->sent = now;
  note = reply_note (out, NOTE_ROUTE_OWN, &flight->request);
  note->offset = flight->fence.offset;
  action = &actions_add (out, ACTION_RUN)->u.run;
  action->exchange = exchange;
  action->attempt_id = ++core->attempt;
  action->slice = flight->request.slice;
  action->fence = flight->fence;
  action->deadline = flight->request.deadline;
  if (flight->request.run_class == RUN_ONCE)
    action->stamp = fresh_stamp (core, flight, now);
}

/* Ask the memory of ids about the request EXCHANGE.  Return FALSE if the
   request was ended.  */
static gboolean
pass_once (struct core *core, struct handle exchange, gint64 now,
           struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  const struct view_service *service = service_of (core, &flight->request);
  struct once_grant grant = { core->settings.incarnation, flight->fence,
                              once_span (service->config.timeout_msec) };
  struct reply_end end = { 0 };
  struct once_verdict verdict;

  if (flight->request.run_class != RUN_ONCE || flight->remembered)
    return TRUE;
  verdict = once_admit (&core->once, &flight->request, &grant, now);
  flight->remembered = verdict.runs;
  if (verdict.runs)
    return TRUE;
  if (verdict.outcome == OUTCOME_UNKNOWN)
    reply_note (out, NOTE_ONCE_REPEAT, &flight->request)->code
        = verdict.reason;
  if (verdict.reason == REASON_NO_STAMP)
    end.stamp = fresh_stamp (core, flight, now);
  end.outcome = verdict.outcome;
  end.reason = verdict.reason;
  reply_send (core, exchange, &end, out);
  return FALSE;
}

/* Tell whether this node takes REQUEST as new work.  What it owns it serves
   until that has been moved away.  */
static gboolean
takes_work (const struct core *core, const struct request *request, gint64 now)
{
  if (service_of (core, request)->config.divided)
    return TRUE;
  return request->run_class == RUN_ONCE ? drain_takes_stamped (core, now)
                                        : drain_takes_work (core);
}

/* End the request EXCHANGE, which the gate refused for REASON, with advice
   when to try again.  */
static void
refuse (struct core *core, struct handle exchange, enum reason reason,
        gint64 now, struct actions *out)
{
  struct reply_end end = { .outcome = OUTCOME_NOT_RUN, .reason = reason };

  if (reason == REASON_OVERLOAD || reason == REASON_DEADLINE)
    end.retry_msec = gate_retry_msec (&core->gate, now);
  reply_send (core, exchange, &end, out);
}

/* Refuse the request that lost its place in the queue, if one did.  */
static void
refuse_displaced (struct core *core, gint64 now, struct actions *out)
{
  struct handle displaced;

  if (gate_displace (&core->gate, &displaced)
      && table_get (&core->flights, displaced) != NULL)
    refuse (core, displaced, REASON_OVERLOAD, now, out);
}

/* Bring the request EXCHANGE to the server beside this node.  */
void
admit_request (struct core *core, struct handle exchange, gint64 now,
               struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  enum reason reason = REASON_NONE;

  if (!pass_once (core, exchange, now, out))
    return;
  if (!takes_work (core, &flight->request, now))
    {
      reply_not_run (core, exchange, REASON_DRAINING, out);
      return;
    }
  switch (gate_admit (&core->gate, exchange, &flight->request, now, &reason))
    {
    case GATE_RUN:
      run (core, exchange, now, out);
      break;
    case GATE_WAIT:
      flight->phase = FLIGHT_QUEUED;
      reply_note (out, NOTE_ROUTE_QUEUED, &flight->request);
      refuse_displaced (core, now, out);
      break;
    case GATE_REFUSE:
      refuse (core, exchange, reason, now, out);
      break;
    }
}

/* Tell whether FLIGHT, which waited, may still be served, under the fence that
   it was admitted under; REASON says why not.  */
static gboolean
still_serves (const struct core *core, const struct flight *flight, gint64 now,
              enum reason *reason)
{
  const struct view_service *service = service_of (core, &flight->request);
  struct own_right right;

  *reason = REASON_QUARANTINED;
  if (suspects_has_quarantined (&core->suspects, flight->request.digest, now))
    return FALSE;
  *reason = REASON_NOT_OWNER;
  if (service == NULL || !service->config.divided)
    return service != NULL;
  right = own_check (core, service, flight->request.slice, now);
  if (right.serves && fence_compare (right.fence, flight->fence) == 0)
    return TRUE;
  if (!right.serves)
    *reason = right.reason;
  return FALSE;
}

/* The server has ended its attempt at the request of FLIGHT.  */
void
admit_ended (struct core *core, const struct flight *flight,
             const struct event_ended *event, gint64 now)
{
  gate_release (&core->gate);
  suspects_on_ended (&core->suspects, flight, event, now);
  if (event->outcome == OUTCOME_DONE)
    gate_on_done (&core->gate, now - flight->sent);
  else if (event->outcome == OUTCOME_NOT_RUN
           && event->reason == REASON_OVERLOAD)
    gate_on_shed (&core->gate, now);
}

/* Give the slots that are free to requests that wait.  */
void
admit_next (struct core *core, gint64 now, struct actions *out)
{
  struct handle next;

  while (gate_next (&core->gate, now, &next))
    {
      const struct flight *flight = table_get (&core->flights, next);
      enum reason reason;
      if (flight != NULL && still_serves (core, flight, now, &reason))
        {
          run (core, next, now, out);
          continue;
        }
      gate_release (&core->gate);
      if (flight != NULL)
        reply_not_run (core, next, reason, out);
    }
}

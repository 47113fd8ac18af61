#include "decide/admit.h"

#include "decide/core.h"
#include "decide/flight.h"
#include "decide/own.h"
#include "decide/reply.h"

/* Return the service that REQUEST addresses.  */
static const struct view_service *
service_of (const struct core *core, const struct request *request)
{
  return view_find_service (&core->view, request->service);
}

/* Return the stamp that this node issues for INFLIGHT at NOW.  */
static struct stamp
issue_stamp (const struct core *core, const struct flight *flight, gint64 now)
{
  struct stamp stamp = { core->settings.incarnation, now, flight->fence };

  return stamp;
}

/* Have the backend server run the request EXCHANGE, which already holds a
   slot.  */
static void
run_request (struct core *core, struct handle exchange, gint64 now,
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
    action->stamp = issue_stamp (core, flight, now);
}

/* Check a run-once request EXCHANGE against the deduplication table, and enter
   its id there if it may run.  Return FALSE if the request was ended because
   it must not run.  */
static gboolean
check_dedup (struct core *core, struct handle exchange, gint64 now,
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
    end.stamp = issue_stamp (core, flight, now);
  end.outcome = verdict.outcome;
  end.reason = verdict.reason;
  reply_send (core, exchange, &end, out);
  return FALSE;
}

/* Tell whether this node accepts REQUEST as new work.  While it drains, it
   still serves the slices it owns until they have been moved away.  */
static gboolean
accepts_work (const struct core *core, const struct request *request,
              gint64 now)
{
  if (service_of (core, request)->config.divided)
    return TRUE;
  return request->run_class == RUN_ONCE ? drain_takes_stamped (core, now)
                                        : drain_takes_work (core);
}

/* End the request EXCHANGE, which admission refused for REASON, and advise the
   caller when to try again.  */
static void
refuse (struct core *core, struct handle exchange, enum reason reason,
        gint64 now, struct actions *out)
{
  struct reply_end end = { .outcome = OUTCOME_NOT_RUN, .reason = reason };

  if (reason == REASON_OVERLOAD || reason == REASON_DEADLINE)
    end.retry_msec = gate_retry_msec (&core->gate, now);
  reply_send (core, exchange, &end, out);
}

/* Refuse the request that was evicted from the admission queue, if there is
   one.  */
static void
refuse_evicted (struct core *core, gint64 now, struct actions *out)
{
  struct handle evicted;

  if (gate_displace (&core->gate, &evicted)
      && table_get (&core->flights, evicted) != NULL)
    refuse (core, evicted, REASON_OVERLOAD, now, out);
}

/* Dispatch the request EXCHANGE to the backend server beside this node: check
   it for a duplicate, then run it, queue it or refuse it.  */
void
admit_request (struct core *core, struct handle exchange, gint64 now,
               struct actions *out)
{
  struct flight *flight = table_get (&core->flights, exchange);
  enum reason reason = REASON_NONE;

  if (!check_dedup (core, exchange, now, out))
    return;
  if (!accepts_work (core, &flight->request, now))
    {
      reply_not_run (core, exchange, REASON_DRAINING, out);
      return;
    }
  switch (gate_admit (&core->gate, exchange, &flight->request, now, &reason))
    {
    case GATE_RUN:
      run_request (core, exchange, now, out);
      break;
    case GATE_WAIT:
      flight->phase = FLIGHT_QUEUED;
      reply_note (out, NOTE_ROUTE_QUEUED, &flight->request);
      refuse_evicted (core, now, out);
      break;
    case GATE_REFUSE:
      refuse (core, exchange, reason, now, out);
      break;
    }
}

/* Tell whether INFLIGHT, which has waited in the queue, may still run under
   the fence it was admitted under.  If not, put the reason into REASON.  */
static gboolean
may_still_serve (const struct core *core, const struct flight *flight,
                 gint64 now, enum reason *reason)
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

/* Free the slot of INFLIGHT, whose attempt at the backend server has ended as
   EVENT says, and update the run time and load estimates.  */
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

/* Run queued requests while slots are free; end those that this node may no
   longer serve.  */
void
admit_next (struct core *core, gint64 now, struct actions *out)
{
  struct handle next;

  while (gate_next (&core->gate, now, &next))
    {
      const struct flight *flight = table_get (&core->flights, next);
      enum reason reason;
      if (flight != NULL && may_still_serve (core, flight, now, &reason))
        {
          run_request (core, next, now, out);
          continue;
        }
      gate_release (&core->gate);
      if (flight != NULL)
        reply_not_run (core, next, reason, out);
    }
}

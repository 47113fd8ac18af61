#include "decide/dispatch.h"

#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/ownership.h"
#include "decide/reply.h"

/* The service of REQUEST.  */
static const struct view_service *
service_of (const struct core *core, const struct request *request)
{
  return view_find_service (&core->view, request->service);
}

/* The stamp that this node gives out for FLIGHT at NOW.  */
static struct stamp
fresh_stamp (const struct core *core, const struct inflight *inflight,
             gint64 now)
{
  struct stamp stamp = { core->settings.incarnation, now, inflight->fence };

  return stamp;
}

/* Have the server run the request EXCHANGE, which holds a slot.  */
static void
run (struct core *core, struct handle exchange, gint64 now,
     struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  struct action_run *action;
  struct log_event *log_event;

  inflight->phase = INFLIGHT_RUNNING;
  inflight->sent_at = now;
  log_event = reply_log (out, LOG_EVENT_ROUTE_OWN, &inflight->request);
  log_event->offset = inflight->fence.offset;
  action = &actions_add (out, ACTION_RUN)->u.run;
  action->exchange = exchange;
  action->attempt_id = ++core->last_attempt_id;
  action->slice = inflight->request.slice;
  action->fence = inflight->fence;
  action->deadline = inflight->request.deadline;
  if (inflight->request.run_class == RUN_ONCE)
    action->stamp = fresh_stamp (core, inflight, now);
}

/* Ask the memory of ids about the request EXCHANGE.  Return FALSE if the
   request was ended.  */
static gboolean
pass_once (struct core *core, struct handle exchange, gint64 now,
           struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  const struct view_service *service = service_of (core, &inflight->request);
  struct dedup_grant grant
      = { core->settings.incarnation, inflight->fence,
          dedup_retention (service->config.timeout_msec) };
  struct reply_result end = { 0 };
  struct dedup_result verdict;

  if (inflight->request.run_class != RUN_ONCE || inflight->is_in_dedup)
    return TRUE;
  verdict = dedup_admit (&core->dedup, &inflight->request, &grant, now);
  inflight->is_in_dedup = verdict.may_run;
  if (verdict.may_run)
    return TRUE;
  if (verdict.outcome == OUTCOME_UNKNOWN)
    reply_log (out, LOG_EVENT_ONCE_REPEAT, &inflight->request)->code
        = verdict.reason;
  if (verdict.reason == REASON_NO_STAMP)
    end.stamp = fresh_stamp (core, inflight, now);
  end.outcome = verdict.outcome;
  end.reason = verdict.reason;
  reply_end_request (core, exchange, &end, out);
  return FALSE;
}

/* Tell whether this node takes REQUEST as new work.  What it owns it serves
   until that has been moved away.  */
static gboolean
takes_work (const struct core *core, const struct request *request, gint64 now)
{
  if (service_of (core, request)->config.sharded)
    return TRUE;
  return request->run_class == RUN_ONCE ? drain_accepts_stamped (core, now)
                                        : drain_accepts_new (core);
}

/* End the request EXCHANGE, which the gate refused for REASON, with advice
   when to try again.  */
static void
refuse (struct core *core, struct handle exchange, enum reason reason,
        gint64 now, struct actions *out)
{
  struct reply_result end = { .outcome = OUTCOME_NOT_RUN, .reason = reason };

  if (reason == REASON_OVERLOAD || reason == REASON_DEADLINE)
    end.retry_msec = admission_retry_msec (&core->admission, now);
  reply_end_request (core, exchange, &end, out);
}

/* Refuse the request that lost its place in the queue, if one did.  */
static void
refuse_displaced (struct core *core, gint64 now, struct actions *out)
{
  struct handle displaced;

  if (admission_evict (&core->admission, &displaced)
      && table_get (&core->requests, displaced) != NULL)
    refuse (core, displaced, REASON_OVERLOAD, now, out);
}

/* Bring the request EXCHANGE to the server beside this node.  */
void
dispatch_request (struct core *core, struct handle exchange, gint64 now,
                  struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  enum reason reason = REASON_NONE;

  if (!pass_once (core, exchange, now, out))
    return;
  if (!takes_work (core, &inflight->request, now))
    {
      reply_not_run (core, exchange, REASON_DRAINING, out);
      return;
    }
  switch (admission_request (&core->admission, exchange, &inflight->request,
                             now, &reason))
    {
    case ADMISSION_RUN:
      run (core, exchange, now, out);
      break;
    case ADMISSION_QUEUE:
      inflight->phase = INFLIGHT_QUEUED;
      reply_log (out, LOG_EVENT_ROUTE_QUEUED, &inflight->request);
      refuse_displaced (core, now, out);
      break;
    case ADMISSION_REFUSE:
      refuse (core, exchange, reason, now, out);
      break;
    }
}

/* Tell whether FLIGHT, which waited, may still be served, under the fence that
   it was admitted under; REASON says why not.  */
static gboolean
still_serves (const struct core *core, const struct inflight *inflight,
              gint64 now, enum reason *reason)
{
  const struct view_service *service = service_of (core, &inflight->request);
  struct serve_right right;

  *reason = REASON_QUARANTINED;
  if (suspects_is_quarantined (&core->suspects, inflight->request.digest, now))
    return FALSE;
  *reason = REASON_NOT_OWNER;
  if (service == NULL || !service->config.sharded)
    return service != NULL;
  right = ownership_check (core, service, inflight->request.slice, now);
  if (right.may_serve && fence_compare (right.fence, inflight->fence) == 0)
    return TRUE;
  if (!right.may_serve)
    *reason = right.reason;
  return FALSE;
}

/* The server has ended its attempt at the request of FLIGHT.  */
void
dispatch_on_ended (struct core *core, const struct inflight *inflight,
                   const struct event_attempt_ended *event, gint64 now)
{
  admission_release (&core->admission);
  suspects_on_ended (&core->suspects, inflight, event, now);
  if (event->outcome == OUTCOME_DONE)
    admission_on_done (&core->admission, now - inflight->sent_at);
  else if (event->outcome == OUTCOME_NOT_RUN
           && event->reason == REASON_OVERLOAD)
    admission_on_shed (&core->admission, now);
}

/* Give the slots that are free to requests that wait.  */
void
dispatch_queued (struct core *core, gint64 now, struct actions *out)
{
  struct handle next;

  while (admission_next (&core->admission, now, &next))
    {
      const struct inflight *inflight = table_get (&core->requests, next);
      enum reason reason;
      if (inflight != NULL && still_serves (core, inflight, now, &reason))
        {
          run (core, next, now, out);
          continue;
        }
      admission_release (&core->admission);
      if (inflight != NULL)
        reply_not_run (core, next, reason, out);
    }
}

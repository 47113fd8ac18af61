#include "decide/dispatch.h"

#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/ownership.h"
#include "decide/reply.h"

/* Return the service that REQUEST addresses.  */
static const struct view_service *
service_of (const struct core *core, const struct request *request)
{
  return view_find_service (&core->view, request->service);
}

/* Return the stamp that this node issues for INFLIGHT at NOW.  */
static struct stamp
issue_stamp (const struct core *core, const struct inflight *inflight,
             gint64 now)
{
  struct stamp stamp = { core->settings.incarnation, now, inflight->fence };

  return stamp;
}

/* Have the backend server run the request EXCHANGE, which already holds a
   slot.  */
static void
run_request (struct core *core, struct handle exchange, gint64 now,
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
    action->stamp = issue_stamp (core, inflight, now);
}

/* Check a run-once request EXCHANGE against the deduplication table, and enter
   its id there if it may run.  Return FALSE if the request was ended because
   it must not run.  */
static gboolean
check_dedup (struct core *core, struct handle exchange, gint64 now,
             struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  const struct view_service *service = service_of (core, &inflight->request);
  struct dedup_grant grant
      = { core->settings.incarnation, inflight->fence,
          dedup_retention (service->config.timeout_msec) };
  struct reply_result end = { 0 };
  struct dedup_result result;

  if (inflight->request.run_class != RUN_ONCE || inflight->is_in_dedup)
    return TRUE;
  result = dedup_admit (&core->dedup, &inflight->request, &grant, now);
  inflight->is_in_dedup = result.may_run;
  if (result.may_run)
    return TRUE;
  if (result.outcome == OUTCOME_UNKNOWN)
    reply_log (out, LOG_EVENT_ONCE_REPEAT, &inflight->request)->code
        = result.reason;
  if (result.reason == REASON_NO_STAMP)
    end.stamp = issue_stamp (core, inflight, now);
  end.outcome = result.outcome;
  end.reason = result.reason;
  reply_end_request (core, exchange, &end, out);
  return FALSE;
}

/* Tell whether this node accepts REQUEST as new work.  A draining node still
   serves the slices it owns until they have been moved away.  */
static gboolean
accepts_work (const struct core *core, const struct request *request,
              gint64 now)
{
  if (service_of (core, request)->config.sharded)
    return TRUE;
  return request->run_class == RUN_ONCE ? drain_accepts_stamped (core, now)
                                        : drain_accepts_new (core);
}

/* End the request EXCHANGE, which admission refused for REASON, and advise the
   caller when to try again.  */
static void
refuse (struct core *core, struct handle exchange, enum reason reason,
        gint64 now, struct actions *out)
{
  struct reply_result end = { .outcome = OUTCOME_NOT_RUN, .reason = reason };

  if (reason == REASON_OVERLOAD || reason == REASON_DEADLINE)
    end.retry_msec = admission_retry_msec (&core->admission, now);
  reply_end_request (core, exchange, &end, out);
}

/* Refuse the request that was evicted from the admission queue, if there is
   one.  */
static void
refuse_evicted (struct core *core, gint64 now, struct actions *out)
{
  struct handle evicted;

  if (admission_evict (&core->admission, &evicted)
      && table_get (&core->requests, evicted) != NULL)
    refuse (core, evicted, REASON_OVERLOAD, now, out);
}

/* Dispatch the request EXCHANGE to the backend server beside this node: check
   it for a duplicate, then run it, queue it or refuse it.  */
void
dispatch_request (struct core *core, struct handle exchange, gint64 now,
                  struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  enum reason reason = REASON_NONE;

  if (!check_dedup (core, exchange, now, out))
    return;
  if (!accepts_work (core, &inflight->request, now))
    {
      reply_not_run (core, exchange, REASON_DRAINING, out);
      return;
    }
  switch (admission_request (&core->admission, exchange, &inflight->request,
                             now, &reason))
    {
    case ADMISSION_RUN:
      run_request (core, exchange, now, out);
      break;
    case ADMISSION_QUEUE:
      inflight->phase = INFLIGHT_QUEUED;
      reply_log (out, LOG_EVENT_ROUTE_QUEUED, &inflight->request);
      refuse_evicted (core, now, out);
      break;
    case ADMISSION_REFUSE:
      refuse (core, exchange, reason, now, out);
      break;
    }
}

/* Tell whether INFLIGHT, which has waited in the queue, may still run under
   the fence it was admitted under.  If not, put the reason into REASON.  */
static gboolean
may_still_serve (const struct core *core, const struct inflight *inflight,
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

/* Free the slot of INFLIGHT, whose attempt at the backend server has ended as
   EVENT says, and update the run time and load estimates.  */
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

/* Run queued requests while slots are free; end those that this node may no
   longer serve.  */
void
dispatch_queued (struct core *core, gint64 now, struct actions *out)
{
  struct handle next;

  while (admission_next (&core->admission, now, &next))
    {
      const struct inflight *inflight = table_get (&core->requests, next);
      enum reason reason;
      if (inflight != NULL && may_still_serve (core, inflight, now, &reason))
        {
          run_request (core, next, now, out);
          continue;
        }
      admission_give_back (&core->admission);
      if (inflight != NULL)
        reply_not_run (core, next, reason, out);
    }
}

#include "decide/route.h"

#include "decide/dispatch.h"
#include "decide/breaker.h"
#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/pick.h"
#include "decide/reply.h"
#include "decide/peer_probe.h"
#include "decide/slice.h"
#include "decide/timing.h"

#include <string.h>

/* Ways */

/* Pass the request EXCHANGE on to the node that was picked.  */
static void
forward (struct core *core, struct handle exchange, const struct pick *pick,
         gint64 now, struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  const struct view_node *peer = view_node_at (&core->view, pick->node);
  struct action_forward *action;
  struct log_event *log_event;

  breaker_on_sent (table_mirror (&core->breakers, pick->node), now);
  peer_load_on_sent (table_mirror (&core->loads, pick->node));
  inflight->sent_at = now;
  inflight->phase = INFLIGHT_FORWARDED;
  inflight->forwarded_to = peer->join.incarnation;
  inflight->request.attempts++;
  log_event = reply_log (out, LOG_EVENT_ROUTE_FORWARD, &inflight->request);
  log_event->node = inflight->forwarded_to;
  log_event->offset = pick->fence.offset;
  action = &actions_add (out, ACTION_FORWARD)->u.forward;
  action->exchange = exchange;
  action->peer_incarnation = inflight->forwarded_to;
  action->address = peer->join.peer_address;
  action->caller_address = peer->join.http_address;
  action->request = inflight->request;
  action->fence = pick->fence;
}

/* Let the request EXCHANGE wait and be routed again, or end it as not run for
   REASON if it has no time or tries left.  */
static void
wait_or_end (struct core *core, struct handle exchange, enum reason reason,
             gint64 now, struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  guint64 draw = slice_rank (core->settings.random_seed, ++core->random_count);
  gint64 retry_at = now + retry_delay (inflight->attempts, draw);

  if (inflight->request.forwarded || inflight->attempts >= RETRY_ATTEMPTS_MAX
      || retry_at >= inflight->request.deadline)
    {
      reply_not_run (core, exchange, reason, out);
      return;
    }
  inflight->phase = INFLIGHT_RETRY_WAIT;
  inflight->retry_at = retry_at;
  reply_log (out, LOG_EVENT_ROUTE_RETRY, &inflight->request)->code = reason;
}

/* No node was picked for the request EXCHANGE, for REASON.  */
static void
end_unpicked (struct core *core, struct handle exchange, enum reason reason,
              gint64 now, struct actions *out)
{
  struct reply_result unknown = { OUTCOME_UNKNOWN, reason, { 0 }, 0 };

  switch (reason)
    {
    case REASON_NO_RULE:
      reply_not_run (core, exchange, reason, out);
      break;
    case REASON_OLD_STAMP:
      reply_end_request (core, exchange, &unknown, out);
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
  const struct inflight *inflight = table_get (&core->requests, exchange);

  if (!suspects_is_quarantined (&core->suspects, inflight->request.digest,
                                now))
    return FALSE;
  reply_log (out, LOG_EVENT_QUARANTINE, &inflight->request);
  reply_not_run (core, exchange, REASON_QUARANTINED, out);
  return TRUE;
}

/* Send the request EXCHANGE to where it belongs now.  */
static void
dispatch (struct core *core, struct handle exchange, gint64 now,
          struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  struct pick pick;

  if (end_quarantined (core, exchange, now, out))
    return;
  pick = pick_node (core, &inflight->request, &inflight->past_attempts, now);
  inflight->attempts++;
  inflight->past_attempts.owner_unreachable = FALSE;
  inflight->fence = pick.fence;
  switch (pick.kind)
    {
    case PICK_LOCAL:
      dispatch_request (core, exchange, now, out);
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
  struct inflight *inflight = table_mirror (&core->requests, event->exchange);

  inflight->request = event->request;
  if (!event->request.forwarded)
    retry_budget_earn (&core->retry_budget);
  dispatch (core, event->exchange, now, out);
}

/* Forget the id of FLIGHT if its attempt here has not run.  */
static void
forget_not_run (struct core *core, struct inflight *inflight,
                enum outcome outcome)
{
  if (!inflight->is_in_dedup || outcome != OUTCOME_NOT_RUN)
    return;
  dedup_remove (&core->dedup, &inflight->request);
  inflight->is_in_dedup = FALSE;
}

/* End a request as its last attempt ended.  */
static void
end_as (struct core *core, const struct event_attempt_ended *event,
        struct actions *out)
{
  struct reply_result end = { .outcome = event->outcome,
                              .reason = event->reason,
                              .stamp = event->stamp,
                              .retry_msec = event->retry_after_msec };

  reply_end_request (core, event->exchange, &end, out);
}

/* Learn from an attempt at another node whether that can be reached, and has
   a server.  */
static void
learn_reach (struct core *core, struct inflight *inflight,
             const struct event_attempt_ended *event, gint64 now,
             struct actions *out)
{
  struct handle node = view_find_node (&core->view, inflight->forwarded_to);
  gboolean lost = event->reason == REASON_PEER_LOST
                  || event->reason == REASON_SERVER_DOWN;
  struct breaker *breaker;
  struct log_event *log_event;

  if (event->reason == REASON_DEADLINE || !handle_is_set (node))
    return;
  inflight->past_attempts.owner_unreachable
      = event->reason == REASON_PEER_LOST;
  inflight->past_attempts.failed_node = node;
  breaker = table_mirror (&core->breakers, node);
  if (!breaker_on_result (breaker, lost ? BREAKER_FAILURE : BREAKER_SUCCESS,
                          now))
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_ROUTE_BREAKER;
  log_event->node = inflight->forwarded_to;
  log_event->code = event->reason;
}

/* Tell whether the request of FLIGHT is sent again after EVENT.  */
static gboolean
wants_retry (struct core *core, const struct inflight *inflight,
             const struct event_attempt_ended *event)
{
  return retry_is_safe (&inflight->request, event)
         && (!retry_is_charged (event)
             || retry_budget_spend (&core->retry_budget));
}

/* An attempt ended without a whole answer.  */
static void
take_failure (struct core *core, struct inflight *inflight,
              const struct event_attempt_ended *event, gint64 now,
              struct actions *out)
{
  reply_log (out,
             event->reason == REASON_FENCE_REFUSED ? LOG_EVENT_SERVER_REFUSED
                                                   : LOG_EVENT_ROUTE_ENDED,
             &inflight->request)
      ->code
      = event->reason;
  forget_not_run (core, inflight, event->outcome);
  if (event->outcome == OUTCOME_UNKNOWN)
    inflight->may_have_run = TRUE;
  if (wants_retry (core, inflight, event))
    wait_or_end (core, event->exchange, event->reason, now, out);
  else
    end_as (core, event, out);
}

/* An attempt ended.  */
void
route_on_ended (struct core *core, const struct event_attempt_ended *event,
                gint64 now, struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, event->exchange);

  if (inflight == NULL)
    return;
  if (inflight->phase == INFLIGHT_RUNNING)
    dispatch_on_ended (core, inflight, event, now);
  route_update_load (core, inflight, FALSE, now);
  if (inflight->phase == INFLIGHT_FORWARDED)
    learn_reach (core, inflight, event, now, out);
  if (event->outcome == OUTCOME_DONE)
    table_remove (&core->requests, event->exchange);
  else
    take_failure (core, inflight, event, now, out);
  dispatch_queued (core, now, out);
}

/* The caller or peer of EXCHANGE went away: its work is cancelled.  */
void
route_on_disconnected (struct core *core, struct handle exchange, gint64 now,
                       struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);

  if (inflight == NULL)
    return;
  reply_log (out, LOG_EVENT_ROUTE_CANCELLED, &inflight->request);
  admission_remove (&core->admission, exchange);
  route_update_load (core, inflight, TRUE, now);
  if (inflight->phase == INFLIGHT_RUNNING)
    admission_release (&core->admission);
  else if (inflight->is_in_dedup)
    dedup_remove (&core->dedup, &inflight->request);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  table_remove (&core->requests, exchange);
  dispatch_queued (core, now, out);
}

/* Route the requests whose wait is over, and end those whose deadline passed
   in the queue.  */
void
route_step (struct core *core, gint64 now, struct actions *out)
{
  struct handle h;

  while (admission_expire (&core->admission, now, &h))
    if (table_get (&core->requests, h) != NULL)
      reply_not_run (core, h, REASON_DEADLINE, out);
  h = table_next (&core->requests, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&core->requests, h))
    {
      const struct inflight *inflight = table_get (&core->requests, h);
      if (inflight->phase == INFLIGHT_RETRY_WAIT && inflight->retry_at <= now)
        dispatch (core, h, now, out);
      else if (inflight->phase == INFLIGHT_FORWARDED
               && now - inflight->sent_at >= PEER_PROBE_AFTER_USEC)
        peer_probe_send (core, inflight->forwarded_to, now, out);
    }
  dispatch_queued (core, now, out);
}

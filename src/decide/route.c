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

/* Sending */

/* Forward the request EXCHANGE to the node in PICK.  */
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

/* Schedule the request EXCHANGE for another attempt, or end it as not run for
   REASON if it has no time or attempts left.  */
static void
retry_or_end (struct core *core, struct handle exchange, enum reason reason,
              gint64 now, struct actions *out)
{
  struct inflight *inflight = table_get (&core->requests, exchange);
  guint64 random
      = slice_rank (core->settings.random_seed, ++core->random_count);
  gint64 retry_at = now + retry_delay (inflight->attempts, random);

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

/* Handle the request EXCHANGE for which no node was picked, for REASON.  */
static void
end_without_node (struct core *core, struct handle exchange,
                  enum reason reason, gint64 now, struct actions *out)
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
  const struct inflight *inflight = table_get (&core->requests, exchange);

  if (!suspects_is_quarantined (&core->suspects, inflight->request.digest,
                                now))
    return FALSE;
  reply_log (out, LOG_EVENT_QUARANTINE, &inflight->request);
  reply_not_run (core, exchange, REASON_QUARANTINED, out);
  return TRUE;
}

/* Send the request EXCHANGE to the node that is to serve it now.  */
static void
send_to_node (struct core *core, struct handle exchange, gint64 now,
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
  struct inflight *inflight = table_mirror (&core->requests, event->exchange);

  inflight->request = event->request;
  if (!event->request.forwarded)
    retry_budget_earn (&core->retry_budget);
  send_to_node (core, event->exchange, now, out);
}

/* Remove the id of INFLIGHT from the dedup table if its attempt here has not
   run.  */
static void
forget_if_not_run (struct core *core, struct inflight *inflight,
                   enum outcome outcome)
{
  if (!inflight->is_in_dedup || outcome != OUTCOME_NOT_RUN)
    return;
  dedup_remove (&core->dedup, &inflight->request);
  inflight->is_in_dedup = FALSE;
}

/* End a request with the outcome of its last attempt.  */
static void
end_like_attempt (struct core *core, const struct event_attempt_ended *event,
                  struct actions *out)
{
  struct reply_result end = { .outcome = event->outcome,
                              .reason = event->reason,
                              .stamp = event->stamp,
                              .retry_msec = event->retry_after_msec };

  reply_end_request (core, event->exchange, &end, out);
}

/* Update the circuit breaker of the node that had INFLIGHT from the end of the
   attempt, and remember that node as failed.  A node without a backend server
   counts as unreachable.  */
static void
update_reachability (struct core *core, struct inflight *inflight,
                     const struct event_attempt_ended *event, gint64 now,
                     struct actions *out)
{
  struct handle node = view_find_node (&core->view, inflight->forwarded_to);
  gboolean failed = event->reason == REASON_PEER_LOST
                    || event->reason == REASON_SERVER_DOWN;
  struct breaker *breaker;
  struct log_event *log_event;

  if (event->reason == REASON_DEADLINE || !handle_is_set (node))
    return;
  inflight->past_attempts.owner_unreachable
      = event->reason == REASON_PEER_LOST;
  inflight->past_attempts.failed_node = node;
  breaker = table_mirror (&core->breakers, node);
  if (!breaker_on_result (breaker, failed ? BREAKER_FAILURE : BREAKER_SUCCESS,
                          now))
    return;
  log_event = &actions_add (out, ACTION_LOG_EVENT)->u.log_event;
  log_event->id = LOG_EVENT_ROUTE_BREAKER;
  log_event->node = inflight->forwarded_to;
  log_event->code = event->reason;
}

/* Return whether the request of INFLIGHT is sent again after EVENT.  A retry
   that is charged is paid from the budget.  */
static gboolean
wants_retry (struct core *core, const struct inflight *inflight,
             const struct event_attempt_ended *event)
{
  return retry_is_safe (&inflight->request, event)
         && (!retry_is_charged (event)
             || retry_budget_spend (&core->retry_budget));
}

/* Handle an attempt that ended without a complete answer.  */
static void
handle_failure (struct core *core, struct inflight *inflight,
                const struct event_attempt_ended *event, gint64 now,
                struct actions *out)
{
  reply_log (out,
             event->reason == REASON_FENCE_REFUSED ? LOG_EVENT_SERVER_REFUSED
                                                   : LOG_EVENT_ROUTE_ENDED,
             &inflight->request)
      ->code
      = event->reason;
  forget_if_not_run (core, inflight, event->outcome);
  if (event->outcome == OUTCOME_UNKNOWN)
    inflight->may_have_run = TRUE;
  if (wants_retry (core, inflight, event))
    retry_or_end (core, event->exchange, event->reason, now, out);
  else
    end_like_attempt (core, event, out);
}

/* Handle the end of an attempt.  */
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
    update_reachability (core, inflight, event, now, out);
  if (event->outcome == OUTCOME_DONE)
    table_remove (&core->requests, event->exchange);
  else
    handle_failure (core, inflight, event, now, out);
  dispatch_queued (core, now, out);
}

/* Cancel the request EXCHANGE, whose caller or peer has disconnected.  */
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

/* Send the requests that are due for another attempt, probe the nodes that
   have not answered a forwarded request within PEER_PROBE_AFTER_USEC, and end
   the requests that have waited too long in the queue.  */
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
        send_to_node (core, h, now, out);
      else if (inflight->phase == INFLIGHT_FORWARDED
               && now - inflight->sent_at >= PEER_PROBE_AFTER_USEC)
        peer_probe_send (core, inflight->forwarded_to, now, out);
    }
  dispatch_queued (core, now, out);
}

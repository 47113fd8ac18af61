#include "mesh/mesh_parts.h"
#include "serve/call_retry.h"

/* A request is sent to an owner again after this delay for each attempt that
   was refused or failed, at most RETRY_DELAY_FACTOR_MAX times the delay.  */
#define RETRY_DELAY_USEC ((gint64)25000)
#define RETRY_DELAY_FACTOR_MAX 6u

/* A request is sent to servers that deny holding its key at most this many
   times.  */
#define DENIED_ATTEMPTS_MAX 2u

/* A request of an unsharded service is sent to at most this many nodes.  */
#define UNSHARDED_ATTEMPTS_MAX 3u

/* Exclude the member that REQUEST was sent to last from further attempts.  */
static void
exclude_last (struct mesh_request *request)
{
  if (request->tried_count < MESH_REQUEST_TRIED_MAX)
    request->tried_members[request->tried_count] = request->sent_to;
  request->tried_count++;
}

/* Return whether the owner of a key, or a server that takes it over, may soon
   run a request that was not run for REASON.  */
static gboolean
may_run_soon (enum reason reason)
{
  switch (reason)
    {
    case REASON_NOT_OWNER:
    case REASON_NO_OWNER:
    case REASON_LEASE_EXPIRED:
    case REASON_PEER_LOST:
    case REASON_DRAINING:
    case REASON_SERVER_DOWN:
    case REASON_MISDIRECTED:
    case REASON_SHED:
    case REASON_KEY_DENIED:
    case REASON_EVACUATED:
    case REASON_OTHER_SERVICE:
      return TRUE;
    default:
      return FALSE;
    }
}

/* Return whether a node refused a request for REASON before its server got the
   request, and a server may run it a moment later.  */
static gboolean
was_turned_away (enum reason reason)
{
  switch (reason)
    {
    case REASON_OVERLOAD:
    case REASON_DEADLINE:
    case REASON_WARMING_UP:
    case REASON_SERVER_DOWN:
    case REASON_DRAINING:
    case REASON_NO_SERVER:
    case REASON_EVACUATED:
    case REASON_OTHER_SERVICE:
      return TRUE;
    default:
      return FALSE;
    }
}

/* Let the call EXCHANGE, which a node turned away, go on as CALL_RETRY says;
   refuse it for the reason in EVENT if no attempt can succeed any more.  */
static void
retry_call (struct mesh *mesh, struct handle exchange,
            const struct event_attempt_ended *event, gint64 now,
            struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  gint64 advice_usec = (gint64)event->retry_after_msec * USEC_PER_MSEC;
  struct call_refusal refusal = { .left_usec = request->request.deadline - now,
                                  .need_usec = MESH_ATTEMPT_MIN_USEC,
                                  .advice_usec = advice_usec,
                                  .tried_count = request->tried_count,
                                  .pause_count = request->pause_count };
  struct call_retry retry;

  refusal.other_is_free
      = !mesh_is_sharded (mesh, request->request.service)
        && handle_is_set (mesh_pick (mesh, request, now).member);
  retry = call_retry_decide (&refusal);
  switch (retry.action)
    {
    case CALL_RETRY_ELSEWHERE:
      mesh_route_request (mesh, exchange, now, out);
      break;
    case CALL_RETRY_PAUSE:
      mesh_log (out, LOG_EVENT_MESH_WAIT, request->request.id,
                "reason=refused by=%s tries=%u pause_ms=%" G_GINT64_FORMAT
                " left_ms=%" G_GINT64_FORMAT,
                reason_name (event->reason), request->request.attempts,
                retry.pause_usec / USEC_PER_MSEC,
                refusal.left_usec / USEC_PER_MSEC);
      request->phase = MESH_REQUEST_WAITING;
      request->retry_at = now + retry.pause_usec;
      request->pause_count++;
      request->tried_count = 0;
      request->evacuated_at = HANDLE_NONE;
      break;
    case CALL_RETRY_FAIL:
      mesh_refuse (mesh, exchange, event->reason, advice_usec, now, out);
      break;
    }
}

/* Retry the request EXCHANGE, whose last attempt did not run, at another node
   or later, or refuse it.  */
void
mesh_attempt_not_run (struct mesh *mesh, struct handle exchange,
                      const struct event_attempt_ended *event, gint64 now,
                      struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  gboolean sharded = mesh_is_sharded (mesh, request->request.service);
  gint64 left_usec = request->request.deadline - now;
  gint64 advice_usec = (gint64)event->retry_after_msec * USEC_PER_MSEC;

  exclude_last (request);
  if (event->reason == REASON_KEY_DENIED)
    request->denied_count++;
  if (event->reason == REASON_EVACUATED)
    request->evacuated_at = request->sent_to;
  if (request->request.forwarded || !event->body_replayable
      || left_usec < MESH_ATTEMPT_MIN_USEC
      || request->denied_count >= DENIED_ATTEMPTS_MAX
      || (event->reason == REASON_SHED && !mesh_spend_retry (mesh, request)))
    mesh_refuse (mesh, exchange, event->reason, advice_usec, now, out);
  else if (request->request.is_call && was_turned_away (event->reason))
    retry_call (mesh, exchange, event, now, out);
  else if (sharded && may_run_soon (event->reason))
    {
      request->phase = MESH_REQUEST_WAITING;
      request->retry_at
          = now
            + RETRY_DELAY_USEC
                  * MIN (request->tried_count, RETRY_DELAY_FACTOR_MAX);
      if (now - request->arrived_at > left_usec)
        mesh_refuse (mesh, exchange, event->reason, advice_usec, now, out);
    }
  else if (!sharded && request->tried_count < UNSHARDED_ATTEMPTS_MAX
           && handle_is_set (mesh_pick (mesh, request, now).member))
    mesh_route_request (mesh, exchange, now, out);
  else
    mesh_refuse (mesh, exchange, event->reason, advice_usec, now, out);
}

/* Retry or refuse the request EXCHANGE, which the local server cannot run for
   REASON.  A request that another node sent is refused, and that node retries
   it.  The server may have room after RETRY_MSEC milliseconds, 0 if that is
   not known.  */
void
mesh_reject_here (struct mesh *mesh, struct handle exchange,
                  enum reason reason, guint32 retry_msec, gint64 now,
                  struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct event_attempt_ended event = { .exchange = exchange,
                                       .outcome = OUTCOME_NOT_RUN,
                                       .reason = reason,
                                       .retry_after_msec = retry_msec,
                                       .body_replayable = TRUE };

  request->sent_to = fleet_state_find (&mesh->fleet, mesh->settings.name);
  mesh_attempt_not_run (mesh, exchange, &event, now, out);
}

/* Return whether EVENT is an answer with a server error that another attempt
   may avoid and that has not been passed on.  The server must have free slots:
   otherwise overload may be the cause of the error.  */
static gboolean
is_server_error (struct mesh *mesh, const struct mesh_request *request,
                 const struct event_attempt_ended *event)
{
  const struct peer_state *peer = table_get (&mesh->peers, request->sent_to);
  const struct load_report *load
      = event->has_load || peer == NULL ? &event->load : &peer->load;

  return event->http_status >= HTTP_STATUS_SERVER_ERROR
         && !event->response_started
         && load->running + load->waiting < load->slots;
}

/* Return whether REQUEST may be sent again although it may have run.  */
static gboolean
may_send_again (struct mesh *mesh, const struct mesh_request *request,
                const struct event_attempt_ended *event, gint64 now)
{
  return request->request.run_class == RUN_IDEMPOTENT
         && !request->request.forwarded && event->body_replayable
         && event->reason != REASON_DEADLINE
         && request->reached_count < request->max_attempts
         && request->request.deadline - now > MESH_ATTEMPT_MIN_USEC
         && mesh_spend_retry (mesh, request);
}

/* Retry the request EXCHANGE, which may have run in its last attempt and has
   no answer, or end it with an unknown outcome.  */
void
mesh_attempt_unknown (struct mesh *mesh, struct handle exchange,
                      const struct event_attempt_ended *event, gint64 now,
                      struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);

  request->may_have_run = TRUE;
  request->reached_count++;
  if (!may_send_again (mesh, request, event, now))
    {
      mesh_answer (mesh, exchange, OUTCOME_UNKNOWN, event->reason, 0, now,
                   out);
      return;
    }
  exclude_last (request);
  mesh_route_request (mesh, exchange, now, out);
}

/* Process the end of the answer to the request EXCHANGE.  An answer with a
   server error is dropped if another attempt may succeed.  */
void
mesh_attempt_done (struct mesh *mesh, struct handle exchange,
                   const struct event_attempt_ended *event, gint64 now,
                   struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);

  if (!is_server_error (mesh, request, event)
      || request->reached_count + 1 >= request->max_attempts
      || !may_send_again (mesh, request, event, now))
    {
      if (!request->request.forwarded)
        run_times_add (&mesh->answer_times, request->request.route_number,
                       now - request->arrived_at);
      mesh_remove_request (mesh, exchange, OUTCOME_DONE, REASON_NONE, now,
                           out);
      return;
    }
  mesh_log (out, LOG_EVENT_MESH_FAILED, request->request.id,
            "outcome=done status=%u at=%s took_ms=%" G_GINT64_FORMAT,
            event->http_status, mesh_member_name (mesh, request->sent_to),
            (now - request->sent_at) / USEC_PER_MSEC);
  request->may_have_run = TRUE;
  request->reached_count++;
  exclude_last (request);
  mesh_route_request (mesh, exchange, now, out);
}

#include "mesh/mesh_parts.h"
#include "types/request_digest.h"

#define RETRY_MIN_USEC ((gint64)50000)      /* shortest retry advice */
#define RETRY_UNKNOWN_USEC ((gint64)250000) /* if the wait is not known */

/* Answers */

/* Return the name of the node with the handle H, or an empty text.  */
const char *
mesh_member_name (struct mesh *mesh, struct handle h)
{
  const struct fleet_member *member = fleet_state_member_at (&mesh->fleet, h);

  return member != NULL ? member->name : "";
}

/* Return the name of PHASE for the log.  */
static const char *
phase_name (enum mesh_request_phase phase)
{
  switch (phase)
    {
    case MESH_REQUEST_WAITING:
      return "waiting";
    case MESH_REQUEST_SENT:
      return "sent";
    case MESH_REQUEST_QUEUED:
      return "queued";
    case MESH_REQUEST_RUNNING:
      return "running";
    }
  return "";
}

/* Remove the request EXCHANGE from the table and log how it ended.  */
void
mesh_remove_request (struct mesh *mesh, struct handle exchange,
                     enum outcome outcome, enum reason reason, gint64 now,
                     struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);

  mesh_log (
      out, LOG_EVENT_MESH_END, request->request.id,
      "outcome=%s reason=%s phase=%s status=%u service=%s route=%s"
      " rank=%d"
      " key=%s from=%s tries=%u took_ms=%" G_GINT64_FORMAT
      " left_ms=%" G_GINT64_FORMAT " retry_ms=%" G_GINT64_FORMAT
      " tick_ms=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT
      " call=%d pauses=%u parent=%.*s",
      outcome_name (outcome), reason_name (reason),
      phase_name (request->phase), request->last_status,
      request->request.service, request->route_name,
      (int)request->request.priority, request->request.key,
      request->request.forwarded ? "node" : "caller",
      request->request.attempts, (now - request->arrived_at) / USEC_PER_MSEC,
      (request->request.deadline - now) / USEC_PER_MSEC,
      MAX (0, request->caller_retry_at - now) / USEC_PER_MSEC,
      (now - mesh->last_tick_at) / USEC_PER_MSEC, mesh_routing_version (mesh),
      request->request.is_call, request->pause_count,
      request->request.is_call ? (int)request->request.parent_id_length : 0,
      request->request.id);
  table_remove (&mesh->requests, exchange);
}

/* End the request EXCHANGE with OUTCOME.  RETRY_USEC is the time after which
   the caller is told to retry, 0 for no advice.  */
void
mesh_answer (struct mesh *mesh, struct handle exchange, enum outcome outcome,
             enum reason reason, gint64 retry_usec, gint64 now,
             struct actions *out)
{
  struct action_answer *action = &actions_add (out, ACTION_ANSWER)->u.answer;
  struct mesh_request *request = table_get (&mesh->requests, exchange);

  request->caller_retry_at = retry_usec > 0 ? now + retry_usec : 0;
  action->exchange = exchange;
  action->outcome = outcome;
  action->reason = reason;
  action->retry_after_msec = (guint32)(retry_usec / USEC_PER_MSEC);
  mesh_remove_request (mesh, exchange, outcome, reason, now, out);
}

/* Return what the caller of REQUEST is told if there may be capacity after
   RETRY_USEC: that time, but no longer than callers wait.  Where it is certain
   that there is none before the deadline, the caller is told so, since it
   would return in vain.  */
static gint64
advice_usec (const struct mesh_request *request, gint64 retry_usec, gint64 now)
{
  gint64 left_usec = request->caller_deadline - now;

  if (request->request.forwarded || left_usec <= 0 || retry_usec >= left_usec)
    return MAX (retry_usec, RETRY_MIN_USEC);
  return MIN (MAX (retry_usec, RETRY_MIN_USEC),
              MAX (retry_spread_limit_usec (left_usec), USEC_PER_MSEC));
}

/* End the request EXCHANGE, whose last attempt did not run, for REASON.  There
   may be capacity for it after RETRY_USEC, RETRY_UNKNOWN_USEC if that is
   0.  */
void
mesh_refuse (struct mesh *mesh, struct handle exchange, enum reason reason,
             gint64 retry_usec, gint64 now, struct actions *out)
{
  const struct mesh_request *request = table_get (&mesh->requests, exchange);

  if (retry_usec == 0)
    retry_usec = MIN (RETRY_UNKNOWN_USEC,
                      MAX (request->caller_deadline - now - 1, 1));
  mesh_answer (mesh, exchange,
               request->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
               reason, advice_usec (request, retry_usec, now), now, out);
}

/* Events */

/* Update the state of the peer that an attempt was sent to.  A refusal by
   another process at the peer's address is no sign of life of the peer.  */
static void
update_peer (struct mesh *mesh, const struct mesh_request *request,
             const struct event_attempt_ended *event, gint64 now)
{
  struct peer_state *peer = table_get (&mesh->peers, request->sent_to);
  gboolean has_report = event->has_load && event->reason != REASON_PEER_LOST;

  if (peer == NULL)
    return;
  if (event->outcome == OUTCOME_DONE || has_report)
    peer_state_on_answer (peer, now);
  else
    peer_state_on_abandoned (peer, now);
  if (has_report)
    {
      peer_state_on_message (peer, now);
      peer_state_on_load (peer, &event->load, now);
    }
  if ((event->reason == REASON_DEADLINE && !has_report)
      || event->reason == REASON_BODY_LOST)
    return;
  breaker_on_result (&peer->breaker,
                     event->reason == REASON_PEER_LOST ? BREAKER_FAILURE
                                                       : BREAKER_SUCCESS,
                     now);
}

/* Log that an attempt ended without an answer.  */
static void
log_failed (struct mesh *mesh, const struct mesh_request *request,
            const struct event_attempt_ended *event, gint64 now,
            struct actions *out)
{
  mesh_log (out, LOG_EVENT_MESH_FAILED, request->request.id,
            "outcome=%s reason=%s at=%s took_ms=%" G_GINT64_FORMAT
            " retry_ms=%u",
            outcome_name (event->outcome), reason_name (event->reason),
            request->phase == MESH_REQUEST_RUNNING
                ? mesh->grant.instance.id
                : mesh_member_name (mesh, request->sent_to),
            (now - request->sent_at) / USEC_PER_MSEC, event->retry_after_msec);
}

/* Process the end of an attempt at the local server or at a peer.  */
void
mesh_attempt_ended (struct mesh *mesh, const struct event_attempt_ended *event,
                    gint64 now, struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, event->exchange);

  if (request == NULL)
    return;
  request->last_status = event->http_status;
  if (event->outcome != OUTCOME_DONE)
    log_failed (mesh, request, event, now, out);
  if (request->phase == MESH_REQUEST_RUNNING)
    {
      request->sent_to = fleet_state_find (&mesh->fleet, mesh->settings.name);
      mesh_run_ended (mesh, request, event, now, out);
    }
  else
    update_peer (mesh, request, event, now);
  switch (event->outcome)
    {
    case OUTCOME_DONE:
      mesh_attempt_done (mesh, event->exchange, event, now, out);
      break;
    case OUTCOME_NOT_RUN:
      mesh_attempt_not_run (mesh, event->exchange, event, now, out);
      break;
    case OUTCOME_UNKNOWN:
      mesh_attempt_unknown (mesh, event->exchange, event, now, out);
      break;
    }
  mesh_admit_queued (mesh, now, out);
}

/* Return the name of END for the log.  */
static const char *
body_end_name (enum body_end end)
{
  switch (end)
    {
    case BODY_END_WHOLE:
      return "whole";
    case BODY_END_BROKEN_OFF:
      return "broken-off";
    case BODY_END_MALFORMED:
      return "bad-framing";
    }
  return "";
}

/* Process the end of a request body.  */
void
mesh_body_ended (struct mesh *mesh, const struct event_body_ended *event,
                 gint64 now, struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, event->exchange);

  if (request == NULL)
    return;
  mesh_log (out, LOG_EVENT_MESH_BODY, request->request.id,
            "outcome=%s bytes=%" G_GUINT64_FORMAT " of=%" G_GINT64_FORMAT
            " dropped=%" G_GUINT64_FORMAT " phase=%s from=%s",
            body_end_name (event->end), event->received_bytes,
            event->stated_bytes, event->dropped_bytes,
            phase_name (request->phase),
            request->request.forwarded ? "node" : "caller");
  if (!event->has_digest)
    return;
  request_digest_set_body (&request->request, event->digest);
  mesh_quarantine_on_body (mesh, event->exchange, now, out);
}

/* Cancel the work for EXCHANGE, whose caller or sending node has
   disconnected.  */
void
mesh_disconnected (struct mesh *mesh, struct handle exchange, gint64 now,
                   struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct peer_state *peer;

  if (request == NULL)
    return;
  admission_remove (&mesh->admission, exchange);
  peer = table_get (&mesh->peers, request->sent_to);
  if (request->phase == MESH_REQUEST_RUNNING)
    admission_release (&mesh->admission);
  else if (request->phase == MESH_REQUEST_SENT && peer != NULL)
    peer_state_on_abandoned (peer, now);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  mesh_remove_request (mesh, exchange, OUTCOME_UNKNOWN,
                       REASON_CALLER_DISCONNECTED, now, out);
  mesh_admit_queued (mesh, now, out);
}

/* Refuse the requests whose time in the queue or whose deadline has
   passed.  */
void
mesh_expire_requests (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h;

  while (admission_expire (&mesh->admission, now, &h))
    {
      const struct mesh_request *request = table_get (&mesh->requests, h);
      if (request != NULL)
        mesh_refuse (
            mesh, h, REASON_OVERLOAD,
            admission_retry_usec (&mesh->admission, &request->request, now),
            now, out);
    }
  h = table_next (&mesh->requests, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *request = table_get (&mesh->requests, h);
      if (request->phase == MESH_REQUEST_WAITING
          && request->request.deadline <= now)
        mesh_refuse (mesh, h, REASON_DEADLINE, 0, now, out);
    }
}

#include "mesh/mesh_parts.h"

#define RETRY_LEAST_USEC ((gint64)50000)    /* shortest advice */
#define RETRY_UNKNOWN_USEC ((gint64)250000) /* where no better is known */

/* Ends */

/* The name of the node under H, or an empty text.  */
const char *
mesh_member_name (struct mesh *mesh, struct handle h)
{
  const struct fleet_member *member = fleet_state_member_at (&mesh->fleet, h);

  return member != NULL ? member->name : "";
}

/* Forget the request EXCHANGE, and say how it ended.  */
void
mesh_remove_request (struct mesh *mesh, struct handle exchange,
                     enum outcome outcome, enum reason reason, gint64 now,
                     struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);

  mesh_log (out, LOG_EVENT_MESH_END, mesh_request->request.id,
            "outcome=%s reason=%s status=%u service=%s route=%s rank=%d"
            " key=%s from=%s tries=%u took_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT " retry_ms=%" G_GINT64_FORMAT
            " config=%" G_GUINT64_FORMAT,
            outcome_name (outcome), reason_name (reason),
            mesh_request->last_status, mesh_request->request.service,
            mesh_request->route_name, (int)mesh_request->request.priority,
            mesh_request->request.key,
            mesh_request->request.forwarded ? "node" : "caller",
            mesh_request->request.attempts,
            (now - mesh_request->arrived_at) / USEC_PER_MSEC,
            (mesh_request->request.deadline - now) / USEC_PER_MSEC,
            MAX (0, mesh_request->caller_retry_at - now) / USEC_PER_MSEC,
            mesh->routing != NULL ? mesh->routing->version : 0);
  table_remove (&mesh->requests, exchange);
}

/* End the request EXCHANGE with OUTCOME.  */
void
mesh_answer (struct mesh *mesh, struct handle exchange, enum outcome outcome,
             enum reason reason, gint64 retry_usec, gint64 now,
             struct actions *out)
{
  struct action_answer *action = &actions_add (out, ACTION_ANSWER)->u.answer;
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);

  mesh_request->caller_retry_at = retry_usec > 0 ? now + retry_usec : 0;
  action->exchange = exchange;
  action->outcome = outcome;
  action->reason = reason;
  action->retry_after_msec = (guint32)(retry_usec / USEC_PER_MSEC);
  mesh_remove_request (mesh, exchange, outcome, reason, now, out);
}

/* End the request EXCHANGE, which has not run in its last attempt, for REASON,
   with the advice to come again after RETRY_USEC, 0 if that is not known.  */
void
mesh_refuse (struct mesh *mesh, struct handle exchange, enum reason reason,
             gint64 retry_usec, gint64 now, struct actions *out)
{
  const struct mesh_request *mesh_request
      = table_get (&mesh->requests, exchange);

  if (retry_usec == 0)
    retry_usec = RETRY_UNKNOWN_USEC;
  mesh_answer (mesh, exchange,
               mesh_request->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
               reason, MAX (retry_usec, RETRY_LEAST_USEC), now, out);
}

/* Events */

/* Learn from an attempt at another node.  A refusal because the process that
   was meant is not there tells nothing of it.  */
static void
learn (struct mesh *mesh, const struct mesh_request *mesh_request,
       const struct event_attempt_ended *event, gint64 now)
{
  struct peer_state *peer_state
      = table_get (&mesh->peers, mesh_request->sent_to);
  gboolean told = event->has_load && event->reason != REASON_PEER_LOST;

  if (peer_state == NULL)
    return;
  if (event->outcome == OUTCOME_DONE || told)
    peer_state_on_answer (peer_state, now);
  else
    peer_state_on_abandoned (peer_state, now);
  if (told)
    {
      peer_state_on_message (peer_state, now);
      peer_state_on_load (peer_state, &event->load, now);
    }
  if (event->reason == REASON_DEADLINE)
    return;
  breaker_on_result (&peer_state->breaker,
                     event->reason == REASON_PEER_LOST ? BREAKER_FAILURE
                                                       : BREAKER_SUCCESS,
                     now);
}

/* Say that an attempt ended without an answer.  */
static void
note_failed (struct mesh *mesh, const struct mesh_request *mesh_request,
             const struct event_attempt_ended *event, gint64 now,
             struct actions *out)
{
  mesh_log (
      out, LOG_EVENT_MESH_FAILED, mesh_request->request.id,
      "outcome=%s reason=%s at=%s took_ms=%" G_GINT64_FORMAT " retry_ms=%u",
      outcome_name (event->outcome), reason_name (event->reason),
      mesh_request->phase == MESH_REQUEST_RUNNING
          ? mesh->grant.instance.id
          : mesh_member_name (mesh, mesh_request->sent_to),
      (now - mesh_request->sent_at) / USEC_PER_MSEC, event->retry_after_msec);
}

/* An attempt ended.  */
void
mesh_attempt_ended (struct mesh *mesh, const struct event_attempt_ended *event,
                    gint64 now, struct actions *out)
{
  struct mesh_request *mesh_request
      = table_get (&mesh->requests, event->exchange);

  if (mesh_request == NULL)
    return;
  mesh_request->last_status = event->http_status;
  if (event->outcome != OUTCOME_DONE)
    note_failed (mesh, mesh_request, event, now, out);
  if (mesh_request->phase == MESH_REQUEST_RUNNING)
    {
      mesh_request->sent_to
          = fleet_state_find (&mesh->fleet, mesh->settings.name);
      mesh_run_ended (mesh, mesh_request, event, now, out);
    }
  else
    learn (mesh, mesh_request, event, now);
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

/* The caller or the node that EXCHANGE came from went away: its work is
   cancelled.  */
void
mesh_disconnected (struct mesh *mesh, struct handle exchange, gint64 now,
                   struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  struct peer_state *peer_state;

  if (mesh_request == NULL)
    return;
  admission_remove (&mesh->admission, exchange);
  peer_state = table_get (&mesh->peers, mesh_request->sent_to);
  if (mesh_request->phase == MESH_REQUEST_RUNNING)
    admission_release (&mesh->admission);
  else if (mesh_request->phase == MESH_REQUEST_SENT && peer_state != NULL)
    peer_state_on_abandoned (peer_state, now);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  mesh_remove_request (mesh, exchange, OUTCOME_UNKNOWN,
                       REASON_CALLER_DISCONNECTED, now, out);
  mesh_admit_queued (mesh, now, out);
}

/* End the requests that have waited as long as they may.  */
void
mesh_expire_requests (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle h;

  while (admission_expire (&mesh->admission, now, &h))
    if (table_get (&mesh->requests, h) != NULL)
      mesh_refuse (mesh, h, REASON_OVERLOAD,
                   (gint64)admission_retry_msec (&mesh->admission, now)
                       * USEC_PER_MSEC,
                   now, out);
  h = table_next (&mesh->requests, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *mesh_request = table_get (&mesh->requests, h);
      if (mesh_request->phase == MESH_REQUEST_WAITING
          && mesh_request->request.deadline <= now)
        mesh_refuse (mesh, h, REASON_DEADLINE, 0, now, out);
    }
}

#include "mesh/mesh_parts.h"

#define RETRY_LEAST_USEC ((gint64)50000)    /* shortest advice */
#define RETRY_UNKNOWN_USEC ((gint64)250000) /* where no better is known */

/* Ends */

/* The name of the node under H, or an empty text.  */
const char *
mesh_member_name (struct mesh *mesh, struct handle h)
{
  const struct fleet_member *member = roster_member_at (&mesh->fleet, h);

  return member != NULL ? member->name : "";
}

/* Forget the request EXCHANGE, and say how it ended.  */
void
mesh_remove_request (struct mesh *mesh, struct handle exchange, enum outcome outcome,
             enum reason reason, gint64 now, struct actions *out)
{
  struct transit *transit = table_get (&mesh->requests, exchange);

  mesh_log (out, LOG_EVENT_MESH_END, transit->request.id,
             "outcome=%s reason=%s status=%u service=%s route=%s rank=%d"
             " key=%s from=%s tries=%u took_ms=%" G_GINT64_FORMAT
             " left_ms=%" G_GINT64_FORMAT " retry_ms=%" G_GINT64_FORMAT
             " config=%" G_GUINT64_FORMAT,
             outcome_name (outcome), reason_name (reason), transit->status,
             transit->request.service, transit->route,
             (int)transit->request.priority, transit->request.key,
             transit->request.forwarded ? "node" : "caller",
             transit->request.attempts, (now - transit->came) / USEC_PER_MSEC,
             (transit->request.deadline - now) / USEC_PER_MSEC,
             MAX (0, transit->return_at - now) / USEC_PER_MSEC,
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
  struct transit *transit = table_get (&mesh->requests, exchange);

  transit->return_at = retry_usec > 0 ? now + retry_usec : 0;
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
  const struct transit *transit = table_get (&mesh->requests, exchange);

  if (retry_usec == 0)
    retry_usec = RETRY_UNKNOWN_USEC;
  mesh_answer (mesh, exchange,
               transit->may_have_run ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
               reason, MAX (retry_usec, RETRY_LEAST_USEC), now, out);
}

/* Events */

/* Learn from an attempt at another node.  A refusal because the process that
   was meant is not there tells nothing of it.  */
static void
learn (struct mesh *mesh, const struct transit *transit,
       const struct event_attempt_ended *event, gint64 now)
{
  struct upstream *upstream = table_get (&mesh->peers, transit->to);
  gboolean told = event->has_load && event->reason != REASON_PEER_LOST;

  if (upstream == NULL)
    return;
  if (event->outcome == OUTCOME_DONE || told)
    upstream_on_answer (upstream, now);
  else
    upstream_on_abandoned (upstream, now);
  if (told)
    {
      upstream_on_word (upstream, now);
      upstream_on_load (upstream, &event->load, now);
    }
  if (event->reason == REASON_DEADLINE)
    return;
  breaker_on_result (
      &upstream->breaker,
      event->reason == REASON_PEER_LOST ? BREAKER_FAILURE : BREAKER_SUCCESS, now);
}

/* Say that an attempt ended without an answer.  */
static void
note_failed (struct mesh *mesh, const struct transit *transit,
             const struct event_attempt_ended *event, gint64 now, struct actions *out)
{
  mesh_log (
      out, LOG_EVENT_MESH_FAILED, transit->request.id,
      "outcome=%s reason=%s at=%s took_ms=%" G_GINT64_FORMAT " retry_ms=%u",
      outcome_name (event->outcome), reason_name (event->reason),
      transit->phase == TRANSIT_RUNNING ? mesh->grant.instance.id
                                        : mesh_member_name (mesh, transit->to),
      (now - transit->sent) / USEC_PER_MSEC, event->retry_after_msec);
}

/* An attempt ended.  */
void
mesh_attempt_ended (struct mesh *mesh, const struct event_attempt_ended *event, gint64 now,
            struct actions *out)
{
  struct transit *transit = table_get (&mesh->requests, event->exchange);

  if (transit == NULL)
    return;
  transit->status = event->http_status;
  if (event->outcome != OUTCOME_DONE)
    note_failed (mesh, transit, event, now, out);
  if (transit->phase == TRANSIT_RUNNING)
    {
      transit->to = roster_find (&mesh->fleet, mesh->settings.name);
      mesh_run_ended (mesh, transit, event, now, out);
    }
  else
    learn (mesh, transit, event, now);
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
  struct transit *transit = table_get (&mesh->requests, exchange);
  struct upstream *upstream;

  if (transit == NULL)
    return;
  admission_remove (&mesh->admission, exchange);
  upstream = table_get (&mesh->peers, transit->to);
  if (transit->phase == TRANSIT_RUNNING)
    admission_release (&mesh->admission);
  else if (transit->phase == TRANSIT_SENT && upstream != NULL)
    upstream_on_abandoned (upstream, now);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  mesh_remove_request (mesh, exchange, OUTCOME_UNKNOWN, REASON_CALLER_DISCONNECTED, now, out);
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
                   (gint64)admission_retry_msec (&mesh->admission, now) * USEC_PER_MSEC,
                   now, out);
  h = table_next (&mesh->requests, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct transit *transit = table_get (&mesh->requests, h);
      if (transit->phase == TRANSIT_WAITING
          && transit->request.deadline <= now)
        mesh_refuse (mesh, h, REASON_DEADLINE, 0, now, out);
    }
}

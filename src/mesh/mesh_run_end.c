#include "mesh/mesh_parts.h"

/* Process the death of the local server: give it no more requests, and collect
   those that were lost with it as suspects.  */
void
mesh_server_crashed (struct mesh *mesh, gint64 now, struct actions *out)
{
  mesh_log (out, LOG_EVENT_MESH_SERVER, mesh->grant.instance.id,
            "outcome=dead running=%u", mesh->admission.busy_slots);
  admission_set_slots (&mesh->admission, 0, 0);
  mesh_quarantine_on_server_ended (mesh, now);
}

/* Presume the server dead if REASON, for which an attempt or a call did not
   reach it, shows so.  */
void
mesh_check_server_gone (struct mesh *mesh, enum reason reason, gint64 now,
                        struct actions *out)
{
  gboolean was_dead = mesh->grant.presumed_dead;

  if (reason == REASON_MISDIRECTED)
    grant_on_misdirected (&mesh->grant);
  else if (reason == REASON_SERVER_DOWN)
    grant_on_connection_refused (&mesh->grant, now);
  if (mesh->grant.presumed_dead && !was_dead)
    mesh_server_crashed (mesh, now, out);
}

/* Return whether the end of an attempt in EVENT does not count as a failure of
   the server.  */
static gboolean
is_success (const struct event_attempt_ended *event)
{
  switch (event->outcome)
    {
    case OUTCOME_DONE:
      return event->http_status < HTTP_STATUS_SERVER_ERROR;
    case OUTCOME_NOT_RUN:
      return event->reason != REASON_SHED;
    case OUTCOME_UNKNOWN:
      return FALSE;
    }
  return TRUE;
}

/* Process the end of the attempt at REQUEST by the local server.  If the
   attempt timed out and the server has answered nothing since the attempt
   began, the idle connections to the server may be dead too and are
   closed.  */
void
mesh_run_ended (struct mesh *mesh, const struct mesh_request *request,
                const struct event_attempt_ended *event, gint64 now,
                struct actions *out)
{
  admission_release (&mesh->admission);
  run_times_on_attempt (&mesh->run_times, is_success (event));
  if (event->has_notice || event->outcome == OUTCOME_DONE)
    mesh->admission.awaits_answer = FALSE;
  if (event->has_notice && request->sent_at >= mesh->grant.instance_since)
    mesh_on_notice (mesh, &event->notice, now, out);
  switch (event->outcome)
    {
    case OUTCOME_DONE:
      mesh->server_answered_at = now;
      admission_on_done (&mesh->admission, now - request->sent_at);
      run_times_add (&mesh->run_times, request->request.route_number,
                     now - request->sent_at);
      mesh_quarantine_on_completed (mesh, request, now);
      break;
    case OUTCOME_NOT_RUN:
      if (event->reason == REASON_KEY_DENIED)
        grant_on_key_denied (&mesh->grant, request->request.slice, now);
      mesh_check_server_gone (mesh, event->reason, now, out);
      break;
    case OUTCOME_UNKNOWN:
      if (event->reason == REASON_DEADLINE
          && mesh->server_answered_at < request->sent_at)
        actions_add (out, ACTION_DROP_CONNECTIONS)
            ->u.drop_connections.peer_incarnation
            = 0;
      if (event->reason == REASON_SERVER_DOWN
          || event->reason == REASON_TRUNCATED)
        mesh_quarantine_on_lost (mesh, request, now);
      break;
    }
}

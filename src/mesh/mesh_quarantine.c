#include "mesh/mesh_parts.h"

/* Requests that crash servers: which are held back, and when one of them is
   let through; docs/design/crash-quarantine.md.  */

/* Longest wait of a request for the record that lets it through; at most half
   of the time that it has left.  */
#define CLAIM_USEC ((gint64)500000)
#define CLAIM_RECHECK_USEC ((gint64)25000)

/* Return whether the request EXCHANGE, which is held back, waits to be let
   through, and claim that for it if it is due.  */
static gboolean
claim_probe (struct mesh *mesh, struct handle exchange, gint64 now)
{
  const struct mesh_request *request = table_get (&mesh->requests, exchange);
  guint64 digest = request->request.digest;
  const struct quarantine_entry *entry
      = quarantine_find (&mesh->fleet.quarantine, digest);
  struct mesh_probe *probe = &mesh->probe;

  if (now < probe->expires_at)
    return handle_equal (probe->exchange, exchange);
  if (now < quarantine_probe_at (entry)
      || handle_equal (probe->exchange, exchange))
    return FALSE;
  probe->digest = digest;
  probe->exchange = exchange;
  probe->expires_at
      = now + MIN (CLAIM_USEC, (request->request.deadline - now) / 2);
  probe->is_granted = FALSE;
  return TRUE;
}

/* Log what is done with REQUEST, which is held back.  */
static void
log_held (struct mesh *mesh, const struct mesh_request *request,
          const char *outcome, struct actions *out)
{
  const struct fleet_suspect *suspect
      = &quarantine_find (&mesh->fleet.quarantine, request->request.digest)
             ->suspect;

  mesh_log (out, LOG_EVENT_MESH_POISON, request->request.id,
            "digest=%016" G_GINT64_MODIFIER "x crashes=%u probes=%u"
            " outcome=%s",
            suspect->digest, suspect->crash_count, suspect->probe_count,
            outcome);
}

/* Cancel the attempt at the request EXCHANGE, which has turned out to be held
   back with the last byte of its body.  A server that has not got that may
   have begun.  */
static void
cancel_held (struct mesh *mesh, struct handle exchange, gint64 now,
             struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct peer_state *peer = table_get (&mesh->peers, request->sent_to);

  log_held (mesh, request, "cancelled", out);
  if (request->phase == MESH_REQUEST_RUNNING)
    admission_release (&mesh->admission);
  else if (peer != NULL)
    peer_state_on_abandoned (peer, now);
  actions_add (out, ACTION_CANCEL)->u.cancel.exchange = exchange;
  mesh_answer (mesh, exchange, OUTCOME_UNKNOWN, REASON_QUARANTINED, 0, now,
               out);
  mesh_admit_queued (mesh, now, out);
}

/* Process the end of the body of the request EXCHANGE, whose digest is known
   now.  */
void
mesh_quarantine_on_body (struct mesh *mesh, struct handle exchange, gint64 now,
                         struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  gboolean is_held
      = request->withholds_end
        && quarantine_holds (&mesh->fleet.quarantine, request->request.digest);

  switch (request->phase)
    {
    case MESH_REQUEST_WAITING:
      if (request->awaits_body)
        mesh_route_request (mesh, exchange, now, out);
      break;
    case MESH_REQUEST_QUEUED:
      if (is_held)
        {
          admission_remove (&mesh->admission, exchange);
          log_held (mesh, request, "refused", out);
          mesh_refuse (mesh, exchange, REASON_QUARANTINED, 0, now, out);
        }
      break;
    case MESH_REQUEST_SENT:
    case MESH_REQUEST_RUNNING:
      if (is_held)
        cancel_held (mesh, exchange, now, out);
      break;
    }
}

/* Return whether the request EXCHANGE, whose body is not whole, waits for its
   end: it may be one that is held back, by its head, and the whole body can be
   kept.  Of a longer one the last byte is withheld.  */
static gboolean
must_await_body (struct mesh *mesh, struct handle exchange,
                 struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);

  if (request->request.head_digest == 0
      || !quarantine_holds_head (&mesh->fleet.quarantine,
                                 request->request.head_digest))
    return FALSE;
  if (request->body_bytes == 0 || request->body_bytes >= BODY_QUEUE_BYTES)
    {
      request->withholds_end = TRUE;
      return FALSE;
    }
  if (!request->awaits_body)
    mesh_log (out, LOG_EVENT_MESH_WAIT, request->request.id,
              "reason=body service=%s bytes=%" G_GINT64_FORMAT,
              request->request.service, request->body_bytes);
  request->awaits_body = TRUE;
  request->phase = MESH_REQUEST_WAITING;
  request->retry_at = request->request.deadline;
  return TRUE;
}

/* Return whether the request EXCHANGE is not to be routed now: it is held
   back, and was refused, or waits to be let through.  */
gboolean
mesh_quarantine_stops (struct mesh *mesh, struct handle exchange, gint64 now,
                       struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  guint64 digest = request->request.digest;
  gint64 probe_at;

  if (digest == 0)
    return must_await_body (mesh, exchange, out);
  if (!quarantine_holds (&mesh->fleet.quarantine, digest)
      || (request->is_probe && !request->may_have_run))
    return FALSE;
  if (!request->may_have_run && claim_probe (mesh, exchange, now))
    {
      request->phase = MESH_REQUEST_WAITING;
      request->retry_at = now + CLAIM_RECHECK_USEC;
      if (!mesh->probe.is_granted)
        return TRUE;
      request->is_probe = TRUE;
      mesh->probe.expires_at = now;
      log_held (mesh, request, "probe", out);
      return FALSE;
    }
  probe_at = quarantine_probe_at (
      quarantine_find (&mesh->fleet.quarantine, digest));
  log_held (mesh, request, "refused", out);
  mesh_refuse (mesh, exchange, REASON_QUARANTINED, MAX (0, probe_at - now),
               now, out);
  return TRUE;
}

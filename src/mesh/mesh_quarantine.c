#include "mesh/mesh_parts.h"
#include "types/store_offset.h"

/* Requests that crash servers: which are reported, which are held back, and
   when one of them is let through; docs/design/crash-quarantine.md.  */

/* Longest wait of a request for the record that lets it through; at most half
   of the time that it has left.  */
#define CLAIM_USEC ((gint64)500000)
#define CLAIM_RECHECK_USEC ((gint64)25000)

/* A server that has sent no heartbeat for this long since it lost requests has
   crashed.  */
#define NO_HEARTBEAT_USEC ((gint64)3000000)

/* Reports */

/* Report the requests whose loss explains the end of the server, known at
   NOW.  */
static void
report_losses (struct mesh *mesh, gint64 now)
{
  guint64 digest;

  while ((digest = crash_evidence_take (&mesh->crash_evidence,
                                        mesh->server_answered_at, now))
         != 0)
    g_array_append_val (mesh->crash_reports, digest);
}

/* Process the end of the local server, which was running the requests of phase
   MESH_REQUEST_RUNNING.  One that had announced its end did not crash.  */
void
mesh_quarantine_on_server_ended (struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  if (grant_is_leaving (&mesh->grant))
    {
      crash_evidence_reset (&mesh->crash_evidence);
      return;
    }
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      struct mesh_request *request = table_get (&mesh->requests, h);
      if (request->phase != MESH_REQUEST_RUNNING
          || (mesh->grant.refused_since != 0
              && request->sent_at >= mesh->grant.refused_since))
        continue;
      crash_evidence_add_loss (&mesh->crash_evidence, request->request.digest,
                               now);
      request->is_loss_counted = TRUE;
    }
  report_losses (mesh, now);
}

/* Process the end of the run of REQUEST at the local server, which has not
   answered it: the connection broke.  */
void
mesh_quarantine_on_lost (struct mesh *mesh, const struct mesh_request *request,
                         gint64 now)
{
  if (!request->is_loss_counted
      && request->sent_at >= mesh->grant.instance_since)
    crash_evidence_add_loss (&mesh->crash_evidence, request->request.digest,
                             now);
}

/* Process the end of the run of REQUEST, which the local server has
   answered.  */
void
mesh_quarantine_on_completed (struct mesh *mesh,
                              const struct mesh_request *request, gint64 now)
{
  guint64 digest = request->request.digest;

  crash_evidence_add_completed (&mesh->crash_evidence, digest, now);
  quarantine_on_completed (&mesh->fleet.quarantine, digest, now);
}

/* Report what was lost if the server's heartbeats have ended since.  */
void
mesh_quarantine_step (struct mesh *mesh, gint64 now)
{
  if (mesh->grant.heartbeat_received && !grant_is_leaving (&mesh->grant)
      && now - mesh->grant.last_heartbeat_at >= NO_HEARTBEAT_USEC
      && crash_evidence_is_pending (&mesh->crash_evidence, now))
    report_losses (mesh, now);
}

/* Return whether OTHER at OFFSET was written over REPORT, a record of this
   node, by a node that did not know of that crash: it has the same counts.  A
   new era repeats records.  */
static gboolean
overwrites (const struct fleet_suspect *other, guint64 offset,
            const struct mesh_crash_report *report)
{
  return report->suspect.digest == other->digest
         && report->suspect.crash_count == other->crash_count
         && report->suspect.probe_count == other->probe_count
         && report->offset < offset
         && store_offset_era (report->offset) == store_offset_era (offset);
}

/* Report the crash of REPORT, which was overwritten, again.  */
static void
report_again (struct mesh *mesh, struct mesh_crash_report *report)
{
  g_array_append_val (mesh->crash_reports, report->suspect.digest);
  report->suspect.digest = 0;
}

/* Process ENTRY, the record of a suspect, which was applied.  */
void
mesh_quarantine_on_record (struct mesh *mesh, const struct fleet_entry *entry)
{
  guint i;

  for (i = 0; i < MESH_CRASH_REPORTS_MAX; i++)
    if (overwrites (&entry->record.u.suspect, entry->offset,
                    &mesh->own_reports[i]))
      report_again (mesh, &mesh->own_reports[i]);
}

/* Process the append of SUSPECT, a record of this node, at OFFSET.  */
static void
on_reported (struct mesh *mesh, const struct fleet_suspect *suspect,
             guint64 offset)
{
  struct mesh_crash_report *own = &mesh->own_reports[mesh->next_own_report];
  const struct quarantine_entry *known
      = quarantine_find (&mesh->fleet.quarantine, suspect->digest);
  guint64 known_offset
      = fleet_state_offset (&mesh->fleet, mesh->proposal.record.key);

  own->suspect = *suspect;
  own->offset = offset;
  mesh->next_own_report = (mesh->next_own_report + 1) % MESH_CRASH_REPORTS_MAX;
  if (known != NULL && overwrites (&known->suspect, known_offset, own))
    report_again (mesh, own);
}

/* Process the append of the proposed record of a suspect at OFFSET.  */
void
mesh_quarantine_on_proposed (struct mesh *mesh, guint64 offset)
{
  const struct fleet_suspect *suspect = &mesh->proposal.record.u.suspect;

  if (mesh->proposal.expected_end == APPEND_UNCONDITIONAL)
    on_reported (mesh, suspect, offset);
  else if (mesh->probe.digest == suspect->digest)
    mesh->probe.is_granted = TRUE;
}

/* Records */

/* Propose the record of the next crash.  Return whether there is one.  */
gboolean
mesh_quarantine_propose_crash (struct mesh *mesh, gint64 now,
                               struct actions *out)
{
  struct fleet_record record = { .kind = FLEET_SUSPECT };
  const struct quarantine_entry *known;
  guint64 digest;

  if (mesh->crash_reports->len == 0)
    return FALSE;
  digest = g_array_index (mesh->crash_reports, guint64, 0);
  g_array_remove_index (mesh->crash_reports, 0);
  known = quarantine_find (&mesh->fleet.quarantine, digest);
  if (known != NULL)
    record.u.suspect = known->suspect;
  record.u.suspect.digest = digest;
  record.u.suspect.crash_count++;
  mesh_propose (mesh, &record, APPEND_UNCONDITIONAL, now, out);
  return TRUE;
}

/* Propose the record that counts the probe that a request waits for.  Return
   whether there is one.  */
static gboolean
propose_probe (struct mesh *mesh, gint64 now, struct actions *out)
{
  const struct quarantine_entry *known
      = quarantine_find (&mesh->fleet.quarantine, mesh->probe.digest);
  struct fleet_record record = { .kind = FLEET_SUSPECT };

  if (known == NULL || mesh->probe.is_granted || now >= mesh->probe.expires_at
      || now < quarantine_probe_at (known))
    return FALSE;
  record.u.suspect = known->suspect;
  record.u.suspect.probe_count++;
  mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
  return TRUE;
}

/* Propose to drop the record of ENTRY for REASON.  */
static void
propose_release (struct mesh *mesh, const struct quarantine_entry *entry,
                 const char *reason, gint64 now, struct actions *out)
{
  struct fleet_record record = { .kind = FLEET_SUSPECT };

  record.u.suspect = entry->suspect;
  fleet_record_set_key (&record);
  record.kind = FLEET_TOMBSTONE;
  mesh_log (out, LOG_EVENT_MESH_POISON, "",
            "digest=%016" G_GINT64_MODIFIER
            "x crashes=%u probes=%u outcome=released reason=%s",
            entry->suspect.digest, entry->suspect.crash_count,
            entry->suspect.probe_count, reason);
  mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
}

/* Propose the record of a request that is held back again if the store lost it
   as it came back from an older copy.  Return whether there is one.  */
static gboolean
propose_again (struct mesh *mesh, gint64 now, struct actions *out)
{
  GHashTableIter iter;
  gpointer value;

  if (mesh->era == 0)
    return FALSE;
  g_hash_table_iter_init (&iter, mesh->fleet.quarantine.entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct quarantine_entry *entry = value;
      struct fleet_record record = { .kind = FLEET_SUSPECT };
      record.u.suspect = entry->suspect;
      fleet_record_set_key (&record);
      if (!quarantine_holds (&mesh->fleet.quarantine, entry->suspect.digest)
          || store_offset_era (fleet_state_offset (&mesh->fleet, record.key))
                 >= mesh->era)
        continue;
      mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
      return TRUE;
    }
  return FALSE;
}

/* Propose the next change of the quarantine that this node knows to be due.
   Return whether there is one.  */
gboolean
mesh_quarantine_propose_own (struct mesh *mesh, gint64 now,
                             struct actions *out)
{
  const struct quarantine_entry *sound
      = quarantine_next_sound (&mesh->fleet.quarantine);

  if (propose_probe (mesh, now, out))
    return TRUE;
  if (sound != NULL)
    propose_release (mesh, sound, "completed", now, out);
  return sound != NULL;
}

/* Propose the next change of the quarantine that one node makes for all.
   Return whether there is one.  */
gboolean
mesh_quarantine_propose_common (struct mesh *mesh, gint64 now,
                                struct actions *out)
{
  const struct quarantine_entry *expired
      = quarantine_next_expired (&mesh->fleet.quarantine, now);

  if (propose_again (mesh, now, out))
    return TRUE;
  if (expired != NULL)
    propose_release (mesh, expired, "expired", now, out);
  return expired != NULL;
}

/* Requests */

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

#include "mesh/mesh_parts.h"
#include "types/store_offset.h"

/* Reports of requests that may have crashed the local server.  */

/* A server that has sent no heartbeat for this long since it lost requests has
   crashed.  */
#define NO_HEARTBEAT_USEC ((gint64)3000000)

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

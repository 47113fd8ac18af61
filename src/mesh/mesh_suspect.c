#include "mesh/mesh_parts.h"
#include "types/store_offset.h"

/* Records of requests that crash servers, which this node proposes.  */

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

#include "mesh/mesh_parts.h"

/* Log the record in ENTRY, which was applied.  */
static void
log_entry (struct mesh *mesh, const struct fleet_entry *entry,
           struct actions *out)
{
  const struct fleet_record *record = &entry->record;
  const struct fleet_member *member = &record->u.member;
  const struct shard_map *map;

  switch (record->kind)
    {
    case FLEET_MEMBER:
      mesh_log (out, LOG_EVENT_MESH_MEMBER, member->name,
                "offset=%" G_GUINT64_FORMAT " server=%s born=%" G_GINT64_FORMAT
                " service=%s zone=%s state=%d",
                entry->offset, member->instance.id,
                member->instance.started_at_msec, member->service,
                member->zone, member->state);
      break;
    case FLEET_MAP:
    case FLEET_MAP_PATCH:
      map = fleet_state_map (&mesh->fleet, record->u.map.service);
      mesh_log (out, LOG_EVENT_MESH_KEYS, map->service,
                "offset=%" G_GUINT64_FORMAT
                " shards=%u changed=%u own=%u fence=%" G_GUINT64_FORMAT
                " ahead=%d",
                entry->offset, map->shards->len, record->u.map.shards->len,
                shard_owned_keys (map, mesh->settings.name), map->next_fence,
                map->is_ahead);
      break;
    case FLEET_SUSPECT:
      mesh_log (out, LOG_EVENT_MESH_POISON, "",
                "offset=%" G_GUINT64_FORMAT " digest=%016" G_GINT64_MODIFIER
                "x crashes=%u probes=%u",
                entry->offset, record->u.suspect.digest,
                record->u.suspect.crash_count, record->u.suspect.probe_count);
      break;
    case FLEET_TOMBSTONE:
      mesh_log (out, LOG_EVENT_MESH_MEMBER, record->key,
                "offset=%" G_GUINT64_FORMAT " outcome=dropped", entry->offset);
      break;
    }
}

/* Restore the grant that the server has from an earlier process of this node,
   as far as the records show it.  A server that was about to stop gets no more
   requests: when it announced that is not known.  */
static void
restore_grant (struct mesh *mesh, gint64 now)
{
  const struct fleet_member *self
      = fleet_state_member_named (&mesh->fleet, mesh->settings.name);
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  struct heartbeat_answer *presumed_answer;
  struct shard_owner owner
      = { mesh->settings.name, &mesh->grant, NULL, now, FALSE, 0 };

  if (self == NULL || self->state == MEMBER_DOWN
      || mesh->grant.heartbeat_received)
    return;
  grant_restore_instance (&mesh->grant, &self->instance, self->slots);
  if (self->state == MEMBER_DRAINING)
    grant_on_leaving (&mesh->grant,
                      MAX (1, now - mesh->settings.drain_limit_usec));
  admission_set_slots (&mesh->admission, self->slots, self->slots);
  if (map == NULL || mesh->grant.method != GRANT_BY_ANSWER)
    return;
  presumed_answer = g_new0 (struct heartbeat_answer, 1);
  owner.candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  presumed_answer->renews_grant = TRUE;
  shard_ranges_to_hold (map, &owner, presumed_answer);
  grant_on_answered (&mesh->grant, presumed_answer, now);
  g_array_free ((GArray *)owner.candidates, TRUE);
  g_free (presumed_answer);
}

/* Return whether RECORD is a map or part of one.  */
static gboolean
is_map (const struct fleet_record *record)
{
  return record->kind == FLEET_MAP || record->kind == FLEET_MAP_PATCH;
}

/* Return whether ENTRY, which was not applied, is a patch that does not fit
   the known map, and not just an old one.  */
static gboolean
is_misfit (const struct mesh *mesh, const struct fleet_entry *entry)
{
  const struct shard_map *known;

  if (entry->record.kind != FLEET_MAP_PATCH)
    return FALSE;
  known = fleet_state_map (&mesh->fleet, entry->record.u.map.service);
  return known == NULL || known->store_offset < entry->offset;
}

/* Apply the entries of EVENT.  Return FALSE if a patch does not fit: the whole
   map has to be fetched then.  */
static gboolean
apply_entries (struct mesh *mesh, const struct event_fleet_records *event,
               gint64 now, struct actions *out)
{
  gboolean fits = TRUE;
  guint32 i;

  for (i = 0; i < event->count; i++)
    {
      const struct fleet_entry *entry = &event->items[i];
      if (is_map (&entry->record))
        mesh_presume_alive (mesh, &entry->record.u.map, now);
      if (!fleet_state_apply (&mesh->fleet, entry, now))
        {
          fits = fits && !is_misfit (mesh, entry);
          continue;
        }
      log_entry (mesh, entry, out);
      if (entry->record.kind == FLEET_MEMBER)
        mesh->members_changed_at = now;
      if (entry->record.kind == FLEET_SUSPECT)
        mesh_quarantine_on_record (mesh, entry);
      if (is_map (&entry->record))
        mesh->map_received_at[mesh->maps_received++ % MESH_MAP_TIMES] = now;
    }
  return fits;
}

/* Note whether an append by an earlier process of this node can still take
   effect.  Its condition is an end of the topic that this process has read, so
   none can once the topic was applied past a record of this process.  Where
   the store has no record of this node, as EVENT shows that was read up to the
   end, no earlier process owned keys.  */
static void
check_earlier (struct mesh *mesh, const struct event_fleet_records *event)
{
  const struct fleet_member *self
      = fleet_state_member_named (&mesh->fleet, mesh->settings.name);

  if (!mesh->initial_read_done || mesh->earlier_settled)
    return;
  mesh->earlier_settled
      = self == NULL ? event->at_end
                     : (self->incarnation == mesh->settings.incarnation
                        && self->store_offset < mesh->fleet.applied_offset);
}

/* Apply records that were read, confirm the session if they reach the end of
   the topic, and route waiting requests again if anything changed.  */
void
mesh_apply_records (struct mesh *mesh, const struct event_fleet_records *event,
                    gint64 now, struct actions *out)
{
  guint64 changes = mesh->fleet.change_count;

  mesh_era_check (mesh, event, now, out);
  mesh->refuses_patches = !apply_entries (mesh, event, now, out);
  if (mesh->refuses_patches)
    return;
  fleet_state_advance (&mesh->fleet, event->next_offset);
  mesh_unconfirmed_resolve (mesh);
  if (event->at_end && event->next_offset >= mesh->fleet.applied_offset)
    mesh_session_confirm (mesh, event->started_at, mesh->settings.incarnation);
  if (event->complete && !mesh->initial_read_done)
    {
      mesh->initial_read_done = TRUE;
      mesh_era_on_first_read (mesh, now);
      restore_grant (mesh, now);
    }
  check_earlier (mesh, event);
  if (mesh->fleet.change_count == changes)
    return;
  mesh->rank_at = 0;
  mesh_route_waiting (mesh, TRUE, now, out);
}

#include "mesh/mesh_parts.h"

/* The session is confirmed by a read of the store when it is this old.  The
   age grows with the rank of the node, so that one node reads and the others
   learn the result by gossip.  */
#define CONFIRM_AFTER_USEC ((gint64)1000000)
#define CONFIRM_RANK_USEC ((gint64)300000)
#define CONFIRM_INTERVAL_USEC ((gint64)600000) /* between reads of a node */

#define PROPOSE_RETRY_USEC ((gint64)150000)  /* after a failed proposal */
#define RELAY_TIMEOUT_USEC ((gint64)1200000) /* of an append by a peer */

/* Records that were read */

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
                " shards=%u changed=%u own=%u fence=%" G_GUINT64_FORMAT,
                entry->offset, map->shards->len, record->u.map.shards->len,
                shard_owned_keys (map, mesh->settings.name), map->next_fence);
      break;
    case FLEET_SUSPECT:
      mesh_log (out, LOG_EVENT_MESH_POISON, "",
                "offset=%" G_GUINT64_FORMAT " digest=%016" G_GINT64_MODIFIER
                "x crashes=%u",
                entry->offset, record->u.suspect.digest,
                record->u.suspect.crash_count);
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
  struct shard_owner owner = { mesh->settings.name, &mesh->grant, NULL, now };

  if (self == NULL || self->state == MEMBER_DOWN
      || mesh->grant.heartbeat_received)
    return;
  grant_restore_instance (&mesh->grant, &self->instance, self->slots);
  if (self->state == MEMBER_DRAINING)
    grant_on_leaving (&mesh->grant,
                      MAX (1, now - mesh->settings.drain_limit_usec));
  admission_set_slots (&mesh->admission, self->slots, self->slots);
  if (map == NULL)
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
      if (is_map (&entry->record))
        mesh->map_received_at[mesh->maps_received++ % MESH_MAP_TIMES] = now;
    }
  return fits;
}

/* Apply records that were read, confirm the session if they reach the end of
   the topic, and route waiting requests again if anything changed.  */
void
mesh_apply_records (struct mesh *mesh, const struct event_fleet_records *event,
                    gint64 now, struct actions *out)
{
  guint64 changes = mesh->fleet.change_count;

  mesh->refuses_patches = !apply_entries (mesh, event, now, out);
  if (mesh->refuses_patches)
    return;
  fleet_state_advance (&mesh->fleet, event->next_offset);
  mesh_unconfirmed_resolve (mesh);
  if (event->at_end && event->next_offset >= mesh->fleet.applied_offset)
    session_confirm (&mesh->session, event->started_at);
  if (event->complete && !mesh->initial_read_done)
    {
      mesh->initial_read_done = TRUE;
      restore_grant (mesh, now);
    }
  if (mesh->fleet.change_count == changes)
    return;
  mesh->rank_at = 0;
  mesh_route_waiting (mesh, TRUE, now, out);
}

/* Proposals */

/* Propose RECORD, which the proposal takes over.  The record is appended only
   if the topic ends at the offset EXPECTED_END, or in any case if EXPECTED_END
   is APPEND_UNCONDITIONAL.  */
void
mesh_propose (struct mesh *mesh, struct fleet_record *record,
              guint64 expected_end, gint64 now, struct actions *out)
{
  struct mesh_proposal *proposal = &mesh->proposal;
  struct action_store_append *action;

  fleet_record_set_key (record);
  if (record->kind == FLEET_MAP)
    mesh_unconfirmed_add (mesh, &record->u.map, expected_end);
  proposal->is_pending = TRUE;
  proposal->sent_to_peer = FALSE;
  proposal->serial = ++mesh->last_serial;
  proposal->expected_end = expected_end;
  proposal->started_at = now;
  proposal->record = *record;
  mesh_log (out, LOG_EVENT_MESH_PROPOSE, record->key,
            "serial=%" G_GUINT64_FORMAT " at=%" G_GINT64_FORMAT
            " session_ms=%" G_GINT64_FORMAT,
            proposal->serial,
            expected_end == APPEND_UNCONDITIONAL ? -1 : (gint64)expected_end,
            session_remaining_usec (&mesh->session, now) / USEC_PER_MSEC);
  action = &actions_add (out, ACTION_STORE_APPEND)->u.store_append;
  action->serial = proposal->serial;
  action->expected_end = expected_end;
  action->record = *record;
  if (record->kind == FLEET_MAP)
    shard_map_copy (&action->record.u.map, &record->u.map);
}

/* Return a random member that reaches the store, to make an append that failed
   from this node; HANDLE_NONE if there is none.  */
static struct handle
choose_relay (struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->peers, HANDLE_NONE);
  struct handle best = HANDLE_NONE;
  guint64 highest_draw = 0;

  for (; handle_is_set (h); h = table_next (&mesh->peers, h))
    {
      const struct peer_state *peer = table_get (&mesh->peers, h);
      guint64 draw
          = g_int_hash (&h.bits) * (++mesh->random_count * 2654435761u);
      if (!peer_state_is_responsive (peer, now) || peer->store_lost
          || fleet_state_member_at (&mesh->fleet, h) == NULL)
        continue;
      if (draw % G_MAXINT32 >= highest_draw)
        {
          highest_draw = draw % G_MAXINT32;
          best = h;
        }
    }
  return best;
}

/* Have another node append the proposed record.  Return FALSE if there is no
   such node.  */
static gboolean
append_by_peer (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct mesh_proposal *proposal = &mesh->proposal;
  struct handle h = choose_relay (mesh, now);
  const struct fleet_member *member = fleet_state_member_at (&mesh->fleet, h);
  struct action_remote_append *action;

  if (member == NULL)
    return FALSE;
  proposal->sent_to_peer = TRUE;
  proposal->serial = ++mesh->last_serial;
  mesh_log (out, LOG_EVENT_MESH_PROPOSE, proposal->record.key,
            "serial=%" G_GUINT64_FORMAT " through=%s", proposal->serial,
            member->name);
  action = &actions_add (out, ACTION_REMOTE_APPEND)->u.remote_append;
  action->serial = proposal->serial;
  action->expected_end = proposal->expected_end;
  action->member = h;
  action->address = member->peer_address;
  action->deadline = now + RELAY_TIMEOUT_USEC;
  action->record = proposal->record;
  if (action->record.kind == FLEET_MAP)
    shard_map_copy (&action->record.u.map, &proposal->record.u.map);
  return TRUE;
}

/* Apply the proposed record, which was stored at OFFSET.  */
static void
apply_proposed (struct mesh *mesh, guint64 offset, gint64 now,
                struct actions *out)
{
  struct fleet_entry entry = { .offset = offset };
  struct event_fleet_records event = { .items = &entry, .count = 1 };
  gboolean conditional = mesh->proposal.expected_end != APPEND_UNCONDITIONAL;

  entry.record = mesh->proposal.record;
  event.next_offset
      = conditional && offset == mesh->fleet.applied_offset ? offset + 1 : 0;
  if (event.next_offset != 0 && !mesh->proposal.sent_to_peer)
    session_confirm (&mesh->session, mesh->proposal.started_at);
  mesh_apply_records (mesh, &event, now, out);
}

/* Process the end of the append of the proposed record.  If the append failed
   without a conflict, the record is sent once more through a peer.  */
void
mesh_append_ended (struct mesh *mesh, const struct event_store_appended *event,
                   gint64 now, struct actions *out)
{
  struct mesh_proposal *proposal = &mesh->proposal;

  if (!proposal->is_pending || event->serial != proposal->serial)
    return;
  mesh_log (out, LOG_EVENT_MESH_PROPOSED, proposal->record.key,
            "serial=%" G_GUINT64_FORMAT " outcome=%s offset=%" G_GUINT64_FORMAT
            " took_ms=%" G_GINT64_FORMAT,
            event->serial, err_name (event->code), event->offset,
            (now - proposal->started_at) / USEC_PER_MSEC);
  if (event->code == ERR_NONE)
    apply_proposed (mesh, event->offset, now, out);
  else if (event->code != ERR_CONFLICT && !proposal->sent_to_peer
           && append_by_peer (mesh, now, out))
    return;
  proposal->is_pending = FALSE;
  fleet_record_clear (&proposal->record);
  if (event->code == ERR_CONFLICT)
    mesh->propose_after_offset = event->topic_end;
  if (event->code != ERR_NONE)
    mesh->propose_paused_until = now + PROPOSE_RETRY_USEC;
}

/* Session */

/* Start a read of the store if the session is due to be confirmed, and log
   whether the session has expired or is live again.  */
void
mesh_session_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  gint64 age_usec = session_age_usec (&mesh->session, now);
  gint64 due_age_usec
      = CONFIRM_AFTER_USEC
        + CONFIRM_RANK_USEC * (gint64)mesh_rank_by_name (mesh, now);
  gboolean is_live = session_remaining_usec (&mesh->session, now) > 0;

  if (is_live != mesh->session_was_live)
    {
      mesh->session_was_live = is_live;
      mesh_log (out, LOG_EVENT_MESH_SESSION, mesh->settings.name,
                "outcome=%s age_ms=%" G_GINT64_FORMAT
                " records=%" G_GUINT64_FORMAT,
                is_live ? "live" : "lapsed", age_usec / USEC_PER_MSEC,
                mesh->fleet.applied_offset);
    }
  if (!mesh->initial_read_done || (age_usec >= 0 && age_usec < due_age_usec)
      || now - mesh->store_read_at < CONFIRM_INTERVAL_USEC)
    return;
  mesh->store_read_at = now;
  actions_add (out, ACTION_READ_TOPIC_ENDS);
}

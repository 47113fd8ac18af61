#include "mesh/mesh_parts.h"

#include "types/store_offset.h"

#define PROPOSE_RETRY_USEC ((gint64)150000)  /* after a failed proposal */
#define RELAY_TIMEOUT_USEC ((gint64)1200000) /* of an append by a peer */

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
            mesh_session_usec (mesh, now) / USEC_PER_MSEC);
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

  entry.record = mesh->proposal.record;
  event.next_offset = offset == mesh->fleet.applied_offset ? offset + 1 : 0;
  if (event.next_offset != 0 && !mesh->proposal.sent_to_peer)
    mesh_session_confirm (mesh, mesh->proposal.started_at,
                          mesh->settings.incarnation);
  mesh_apply_records (mesh, &event, now, out);
}

/* Read the topic if the record of this process that was appended is not
   enough to settle the appends of an earlier one, because records before it
   are not applied yet.  */
static void
read_up_to_own (struct mesh *mesh, gint64 now, struct actions *out)
{
  if (mesh->earlier_settled || mesh->proposal.record.kind != FLEET_MEMBER)
    return;
  mesh_read_start (mesh, MESH_TOPIC_FLEET, now, out);
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
    {
      if (proposal->record.kind == FLEET_SUSPECT)
        mesh_quarantine_on_proposed (mesh, event->offset);
      apply_proposed (mesh, event->offset, now, out);
      read_up_to_own (mesh, now, out);
    }
  else if (event->code != ERR_CONFLICT && event->code != ERR_TOO_LARGE
           && !proposal->sent_to_peer && append_by_peer (mesh, now, out))
    return;
  proposal->is_pending = FALSE;
  fleet_record_clear (&proposal->record);
  if (event->code == ERR_CONFLICT)
    mesh->propose_after_offset = event->topic_end;
  if (event->code != ERR_NONE)
    mesh->propose_paused_until = now + PROPOSE_RETRY_USEC;
}

/* Session */

/* Record that a read by the process SOURCE, which began at STARTED_AT, showed
   nothing newer than this node's copy.  It does not prolong the session while
   this node knows more of its service's keys than the store, or while the
   store has no map of this era: a node that does not know that may take the
   keys over once the era has settled.  */
void
mesh_session_confirm (struct mesh *mesh, gint64 started_at, guint64 source)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh->settings.service);

  if (map == NULL
      || (!map->is_ahead && store_offset_era (map->store_offset) >= mesh->era))
    freshness_confirm (&mesh->freshness[MESH_TOPIC_FLEET], started_at, source);
}

/* Return how long this process may grant keys and plan for all nodes at NOW,
   in microseconds; 0 if it may not.  An earlier process of this node may have
   given keys away in a map whose append is carried out late.  So a process
   waits until no such append can take effect.  */
gint64
mesh_session_usec (const struct mesh *mesh, gint64 now)
{
  return mesh->earlier_settled
             ? session_remaining_usec (&mesh->freshness[MESH_TOPIC_FLEET], now)
             : 0;
}

/* Log whether the session has expired or is live again.  */
void
mesh_session_step (struct mesh *mesh, gint64 now, struct actions *out)
{
  gboolean is_live = mesh_session_usec (mesh, now) > 0;

  if (is_live == mesh->session_was_live)
    return;
  mesh->session_was_live = is_live;
  mesh_log (out, LOG_EVENT_MESH_SESSION, mesh->settings.name,
            "outcome=%s age_ms=%" G_GINT64_FORMAT
            " records=%" G_GUINT64_FORMAT,
            is_live ? "live" : "lapsed",
            freshness_age_usec (&mesh->freshness[MESH_TOPIC_FLEET], now)
                / USEC_PER_MSEC,
            mesh->fleet.applied_offset);
}

/* Record and log whether the store ANSWERS this node about the fleet's
   topic.  */
void
mesh_store_answers (struct mesh *mesh, gboolean answers, gint64 now,
                    struct actions *out)
{
  if (answers != mesh->store_lost)
    return;
  mesh->store_lost = !answers;
  mesh_log (
      out, LOG_EVENT_MESH_STORE, mesh->settings.name,
      "outcome=%s records=%" G_GUINT64_FORMAT " session_ms=%" G_GINT64_FORMAT
      " config_ms=%" G_GINT64_FORMAT,
      answers ? "back" : "lost", mesh->fleet.applied_offset,
      mesh_session_usec (mesh, now) / USEC_PER_MSEC,
      mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now));
}

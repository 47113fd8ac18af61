#include "mesh/mesh_parts.h"

/* Keys are granted for two beats and the time that one may come late, so that
   a lost beat does not cost the server its keys.  */
#define HOLD_BEATS 2
#define HOLD_LATE_USEC ((gint64)1200000)

#define QUEUE_PER_SLOT 4u /* requests that may wait for each slot */

/* How long the server may hold keys from now on; 0 if not at all.  */
static gint64
hold_time (const struct mesh *mesh, gint64 now)
{
  gint64 hold = HOLD_BEATS * mesh->settings.heartbeat_usec + HOLD_LATE_USEC;

  hold = MIN (hold, mesh->settings.max_grant_usec);
  hold = MIN (hold, session_remaining_usec (&mesh->session, now));
  hold = hold * 100 / (100 + GRANT_DRIFT_PERCENT);
  return hold >= GRANT_MIN_USEC ? hold : 0;
}

/* Work out what the server is to hold.  */
static void
fill_answer (struct mesh *mesh, gint64 now, struct heartbeat_answer *answer,
             struct actions *out)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  GArray *holders = mesh_candidates (mesh, mesh->settings.service, now);
  struct shard_owner shard_owner
      = { mesh->settings.name, &mesh->grant, holders, now };

  answer->grant_usec = hold_time (mesh, now);
  answer->renews_grant
      = map != NULL && mesh->initial_read_done && answer->grant_usec > 0;
  if (answer->renews_grant)
    {
      struct shard_map safe = mesh_unconfirmed_exclude (mesh, map);
      mesh_handoffs_apply (mesh, &safe, holders, now);
      mesh_balance (mesh, &safe, holders, now, out);
      mesh_handoffs_apply (mesh, &safe, holders, now);
      shard_ranges_to_hold (&safe, &shard_owner, answer);
      shard_map_clear (&safe);
      grant_on_answered (&mesh->grant, answer, now);
    }
  g_array_free (holders, TRUE);
}

/* Say what a beat changed.  */
static void
note_beat (struct mesh *mesh, const struct heartbeat *heartbeat,
           enum grant_change peer_report,
           const struct heartbeat_answer *answer, struct actions *out)
{
  if (peer_report == GRANT_NEW_INSTANCE)
    mesh_log (out, LOG_EVENT_MESH_SERVER, heartbeat->instance.id,
              "outcome=begun born=%" G_GINT64_FORMAT
              " service=%s slots=%u cold_ms=%" G_GINT64_FORMAT,
              heartbeat->instance.started_at_msec, heartbeat->service,
              heartbeat->slots, heartbeat->warmup_usec / USEC_PER_MSEC);
  if (heartbeat->released_count > 0
      || heartbeat->held_count != answer->range_count || heartbeat->draining
      || peer_report != GRANT_SAME_INSTANCE)
    mesh_log (out, LOG_EVENT_MESH_BEAT, heartbeat->instance.id,
              "number=%" G_GUINT64_FORMAT " held=%u freed=%u draining=%d "
              "given=%u hold_ms=%" G_GINT64_FORMAT
              " records=%" G_GUINT64_FORMAT " session_ms=%" G_GINT64_FORMAT,
              heartbeat->sequence, heartbeat->held_count,
              heartbeat->released_count, heartbeat->draining,
              answer->range_count,
              answer->renews_grant ? answer->grant_usec / USEC_PER_MSEC : 0,
              mesh->fleet.applied_offset,
              session_remaining_usec (&mesh->session, mesh->last_event_at)
                  / USEC_PER_MSEC);
}

/* Refuse the beat CALL with CODE.  */
static void
refuse (guint32 call, enum err code, struct actions *out)
{
  struct action_heartbeat_answer *action
      = &actions_add (out, ACTION_HEARTBEAT_ANSWER)->u.heartbeat_answer;

  action->call_id = call;
  action->code = code;
}

/* The server beside this node sent a beat.  */
void
mesh_heartbeat (struct mesh *mesh, const struct event_heartbeat *event,
                gint64 now, struct actions *out)
{
  const struct heartbeat *heartbeat = event->heartbeat;
  struct heartbeat_answer *answer;
  enum grant_change peer_report;

  if (!address_equal (heartbeat->address, mesh->settings.server_address))
    {
      mesh_log (out, LOG_EVENT_MESH_BAD_INPUT, heartbeat->instance.id,
                "what=beat reason=address");
      refuse (event->call_id, ERR_INVALID, out);
      return;
    }
  if (server_instance_is_set (&mesh->grant.instance)
      && heartbeat->instance.started_at_msec
             > mesh->grant.instance.started_at_msec
      && !mesh->grant.presumed_dead)
    mesh_server_crashed (mesh, now, out);
  peer_report = grant_on_heartbeat (&mesh->grant, heartbeat, now);
  if (peer_report == GRANT_NEW_INSTANCE)
    memset (&mesh->run_times, 0, sizeof mesh->run_times);
  answer = g_new0 (struct heartbeat_answer, 1);
  if (peer_report != GRANT_OUTDATED)
    {
      g_strlcpy (mesh->settings.service, heartbeat->service,
                 sizeof mesh->settings.service);
      admission_set_slots (&mesh->admission, heartbeat->slots,
                           QUEUE_PER_SLOT * heartbeat->slots);
      fill_answer (mesh, now, answer, out);
    }
  note_beat (mesh, heartbeat, peer_report, answer, out);
  actions_add (out, ACTION_HEARTBEAT_ANSWER)->u.heartbeat_answer.call_id
      = event->call_id;
  g_array_index (out->items, struct action, out->items->len - 1)
      .u.heartbeat_answer.answer
      = answer;
  mesh_plan_step (mesh, now, out);
  mesh_admit_queued (mesh, now, out);
}

/* A server says goodbye.  One that is not known here needs no more than the
   answer.  */
void
mesh_deregister (struct mesh *mesh, const struct event_deregister *event,
                 gint64 now, struct actions *out)
{
  gboolean known = grant_on_deregister (&mesh->grant, event->server_id, now);

  mesh_log (out, LOG_EVENT_MESH_SERVER, event->server_id, "outcome=%s",
            known ? "leaves" : "unknown");
  refuse (event->call_id, ERR_NONE, out);
  mesh_plan_step (mesh, now, out);
}

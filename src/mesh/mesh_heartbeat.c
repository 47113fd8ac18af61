#include "mesh/mesh_parts.h"

/* Keys are granted for this many heartbeat intervals, plus the time by which a
   heartbeat may be late, so that one lost heartbeat does not cost the server
   its keys.  */
#define GRANT_HEARTBEATS 2
#define LATE_HEARTBEAT_USEC ((gint64)1200000)

#define QUEUE_PER_SLOT 4u /* requests that may wait for each slot */

/* Return how long the server may hold keys from NOW on, in microseconds; 0 if
   it may hold none.  */
static gint64
grant_usec (const struct mesh *mesh, gint64 now)
{
  gint64 usec
      = GRANT_HEARTBEATS * mesh->settings.heartbeat_usec + LATE_HEARTBEAT_USEC;

  usec = MIN (usec, mesh->settings.max_grant_usec);
  usec = MIN (usec, mesh_session_usec (mesh, now));
  usec = usec * 100 / (100 + GRANT_DRIFT_PERCENT);
  return usec >= GRANT_MIN_USEC ? usec : 0;
}

/* Fill ANSWER with the keys that the server may hold, and plan handoffs of its
   keys.  */
static void
fill_answer (struct mesh *mesh, gint64 now, struct heartbeat_answer *answer,
             struct actions *out)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  GArray *candidates = mesh_candidates (mesh, mesh->settings.service, now);
  struct shard_owner owner = { mesh->settings.name,
                               &mesh->grant,
                               candidates,
                               now,
                               mesh_evacuation_releases_keys (mesh, now),
                               0 };

  answer->grant_usec = grant_usec (mesh, now);
  answer->renews_grant
      = map != NULL && mesh->initial_read_done && answer->grant_usec > 0;
  if (answer->renews_grant)
    {
      struct shard_map grantable
          = mesh_grantable_map (mesh, map, candidates, now);
      mesh_balance (mesh, &grantable, candidates, now, out);
      mesh_handoffs_apply (mesh, &grantable, candidates, now);
      shard_ranges_to_hold (&grantable, &owner, answer);
      shard_map_clear (&grantable);
      grant_on_answered (&mesh->grant, answer, now);
    }
  g_array_free (candidates, TRUE);
}

/* Log HEARTBEAT if it is from a new or an ended instance or out of order, if
   the server drains, or if the held keys change.  */
static void
log_heartbeat (struct mesh *mesh, const struct heartbeat *heartbeat,
               enum grant_change change, const struct heartbeat_answer *answer,
               struct actions *out)
{
  if (change == GRANT_NEW_INSTANCE)
    mesh_log (out, LOG_EVENT_MESH_SERVER, heartbeat->instance.id,
              "outcome=begun born=%" G_GINT64_FORMAT
              " service=%s slots=%u cold_ms=%" G_GINT64_FORMAT,
              heartbeat->instance.started_at_msec, heartbeat->service,
              heartbeat->slots, heartbeat->warmup_usec / USEC_PER_MSEC);
  if (heartbeat->released_count > 0
      || heartbeat->held_count != answer->range_count || heartbeat->draining
      || change != GRANT_SAME_INSTANCE)
    mesh_log (out, LOG_EVENT_MESH_BEAT, heartbeat->instance.id,
              "number=%" G_GUINT64_FORMAT " held=%u freed=%u draining=%d "
              "given=%u hold_ms=%" G_GINT64_FORMAT
              " records=%" G_GUINT64_FORMAT " session_ms=%" G_GINT64_FORMAT,
              heartbeat->sequence, heartbeat->held_count,
              heartbeat->released_count, heartbeat->draining,
              answer->range_count,
              answer->renews_grant ? answer->grant_usec / USEC_PER_MSEC : 0,
              mesh->fleet.applied_offset,
              mesh_session_usec (mesh, mesh->last_event_at) / USEC_PER_MSEC);
}

/* Answer the call CALL_ID, a heartbeat or a request to deregister, with CODE
   and no keys.  */
static void
answer_code (guint32 call_id, enum err code, struct actions *out)
{
  struct action_heartbeat_answer *action
      = &actions_add (out, ACTION_HEARTBEAT_ANSWER)->u.heartbeat_answer;

  action->call_id = call_id;
  action->code = code;
}

/* Return what shows that HEARTBEAT is not from the server of this host, or
   NULL. Which services there are the settings and the configuration decide. */
static const char *
foreign_field (const struct mesh *mesh, const struct heartbeat *heartbeat)
{
  if (!address_equal (heartbeat->address, mesh->settings.server_address))
    return "address";
  if (strcmp (heartbeat->service, mesh->settings.service) != 0
      && (mesh->routing == NULL
          || routing_find_service (mesh->routing, heartbeat->service) == NULL))
    return "service";
  return NULL;
}

/* Process a heartbeat of the local backend server and answer it with the keys
   that the server may hold.  */
void
mesh_heartbeat (struct mesh *mesh, const struct event_heartbeat *event,
                gint64 now, struct actions *out)
{
  const struct heartbeat *heartbeat = event->heartbeat;
  const char *foreign = foreign_field (mesh, heartbeat);
  struct heartbeat_answer *answer;
  enum grant_change change;

  if (foreign != NULL)
    {
      mesh_log (out, LOG_EVENT_MESH_BAD_INPUT, heartbeat->instance.id,
                "what=beat reason=%s", foreign);
      answer_code (event->call_id, ERR_INVALID, out);
      return;
    }
  if (heartbeat->unusable_tokens > 0)
    mesh_log (out, LOG_EVENT_MESH_BAD_INPUT, heartbeat->instance.id,
              "what=beat reason=long-token tokens=%u outcome=in-part",
              heartbeat->unusable_tokens);
  if (server_instance_is_set (&mesh->grant.instance)
      && heartbeat->instance.started_at_msec
             > mesh->grant.instance.started_at_msec
      && !mesh->grant.presumed_dead)
    mesh_server_crashed (mesh, now, out);
  change = grant_on_heartbeat (&mesh->grant, heartbeat, now);
  if (change == GRANT_NEW_INSTANCE)
    {
      memset (&mesh->run_times, 0, sizeof mesh->run_times);
      memset (&mesh->server_notice, 0, sizeof mesh->server_notice);
      memset (&mesh->admission.limit, 0, sizeof mesh->admission.limit);
      /* It holds no keys that could be served until their turn.  */
      mesh->release_keys_at = MIN (mesh->release_keys_at, now);
    }
  answer = g_new0 (struct heartbeat_answer, 1);
  if (change != GRANT_OUTDATED)
    {
      mesh_set_service (mesh, heartbeat->service, now, out);
      admission_set_slots (&mesh->admission, heartbeat->slots,
                           QUEUE_PER_SLOT * heartbeat->slots);
      mesh_warmup_on_heartbeat (mesh, heartbeat->warmup_usec, now, out);
      switch (mesh->grant.method)
        {
        case GRANT_BY_ANSWER:
          fill_answer (mesh, now, answer, out);
          break;
        case GRANT_BY_CALL:
          mesh_orders_on_heartbeat (mesh, now, out);
          break;
        }
    }
  log_heartbeat (mesh, heartbeat, change, answer, out);
  actions_add (out, ACTION_HEARTBEAT_ANSWER)->u.heartbeat_answer.call_id
      = event->call_id;
  g_array_index (out->items, struct action, out->items->len - 1)
      .u.heartbeat_answer.answer
      = answer;
  mesh_plan_step (mesh, now, out);
  mesh_admit_queued (mesh, now, out);
}

/* Process the deregistration of a server, also of one that is not known yet:
   its answer is binding from now on.  */
void
mesh_deregister (struct mesh *mesh, const struct event_deregister *event,
                 gint64 now, struct actions *out)
{
  gboolean known = grant_on_deregister (&mesh->grant, event->server_id,
                                        event->at_msec, now);

  mesh_log (out, LOG_EVENT_MESH_SERVER, event->server_id, "outcome=%s",
            known ? "leaves" : "unknown");
  answer_code (event->call_id, ERR_NONE, out);
  mesh_plan_step (mesh, now, out);
  mesh_orders_update (mesh, now, out);
}

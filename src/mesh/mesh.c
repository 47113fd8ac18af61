#include "mesh/mesh_parts.h"

/* Time between walks over all members, for each of them, so that the work of a
   tick does not grow with the fleet; and the longest time.  */
#define WALK_USEC_PER_MEMBER ((gint64)500)
#define WALK_MAX_USEC ((gint64)400000)

/* Set up a node that starts at NOW and has read nothing yet.  */
void
mesh_init (struct mesh *mesh, const struct mesh_settings *settings, gint64 now)
{
  memset (mesh, 0, sizeof *mesh);
  mesh->settings = *settings;
  mesh->started_at = now;
  mesh->last_tick_at = now;
  mesh->random_count = settings->random_seed;
  mesh->members_changed_at = now;
  fleet_state_init (&mesh->fleet);
  grant_init (&mesh->grant, settings->grant_method,
              now + settings->max_grant_usec);
  admission_init (&mesh->admission);
  mesh->admission.awaits_answer = TRUE;
  warmup_init (&mesh->admission.warmup, now);
  key_rate_init (&mesh->key_rate);
  table_init (&mesh->peers, sizeof (struct peer_state));
  mesh->peers_by_incarnation
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  table_init (&mesh->requests, sizeof (struct mesh_request));
  mesh->running = g_array_new (FALSE, TRUE, sizeof (struct handle));
  mesh->retry_budgets
      = g_array_new (FALSE, TRUE, sizeof (struct mesh_retry_budget));
  mesh->unconfirmed
      = g_array_new (FALSE, TRUE, sizeof (struct mesh_unconfirmed));
  g_array_set_clear_func (mesh->unconfirmed, mesh_unconfirmed_clear);
  mesh->handoffs = g_array_new (FALSE, TRUE, sizeof (struct mesh_handoff));
  mesh->crash_reports = g_array_new (FALSE, TRUE, sizeof (guint64));
}

/* Free the memory of MESH.  */
void
mesh_clear (struct mesh *mesh)
{
  routing_free (mesh->routing);
  shard_map_clear (&mesh->era_map);
  fleet_state_clear (&mesh->fleet);
  grant_clear (&mesh->grant);
  admission_clear (&mesh->admission);
  key_rate_clear (&mesh->key_rate);
  table_clear (&mesh->peers);
  g_hash_table_destroy (mesh->peers_by_incarnation);
  table_clear (&mesh->requests);
  g_array_free (mesh->running, TRUE);
  g_array_free (mesh->retry_budgets, TRUE);
  g_array_free (mesh->unconfirmed, TRUE);
  g_array_free (mesh->handoffs, TRUE);
  g_array_free (mesh->crash_reports, TRUE);
  if (mesh->proposal.is_pending)
    fleet_record_clear (&mesh->proposal.record);
}

/* Return whether new callers may be directed to this node: it has a
   configuration, has read the store and was not asked to stop.  */
gboolean
mesh_is_ready (const struct mesh *mesh)
{
  return mesh->config_usable && mesh->initial_read_done
         && mesh->stop_requested_at == 0;
}

/* Return the load of the local backend server, to be sent to other nodes.  */
struct load_report
mesh_load_report (struct mesh *mesh, gint64 now)
{
  struct load_report load
      = { .running = mesh->admission.busy_slots,
          .waiting = mesh->admission.queue->len,
          .mean_run_usec = run_times_route_average_now (&mesh->run_times),
          .demand_permille = mesh_demand (mesh),
          .failed_permille = mesh->run_times.failed_permille,
          .warmup_msec
          = (guint32)(warmup_left_usec (&mesh->admission.warmup, now)
                      / USEC_PER_MSEC) };

  if (mesh->grant.method == GRANT_BY_ANSWER)
    load.next_heartbeat_msec
        = (guint32)(MAX (0, mesh->grant.last_heartbeat_at
                                + mesh->settings.heartbeat_usec - now)
                    / USEC_PER_MSEC);
  if (!grant_is_leaving (&mesh->grant) && grant_may_run (&mesh->grant))
    load.slots = warmup_slots (
        &mesh->admission.warmup,
        server_limit_slots (&mesh->admission.limit,
                            limiter_slots (&mesh->admission.limiter,
                                           mesh->admission.slots, now),
                            run_times_mean (&mesh->run_times)),
        run_times_mean (&mesh->run_times), now);
  return load;
}

/* Events */

/* Walk over all members, for what depends on the time: who responds, and what
   is to be proposed.  */
static void
walk_members (struct mesh *mesh, gint64 now, struct actions *out)
{
  if (now < mesh->next_walk_at)
    return;
  mesh->next_walk_at
      = now
        + MIN ((gint64)mesh->fleet.members.count * WALK_USEC_PER_MEMBER,
               WALK_MAX_USEC);
  mesh_liveness_step (mesh, now, out);
  mesh_plan_step (mesh, now, out);
}

/* Run the periodic work of a tick at NOW.  */
static void
step_timers (struct mesh *mesh, const struct event_tick *event, gint64 now,
             struct actions *out)
{
  mesh_routing_check (mesh, now);
  mesh_newest_step (mesh, now, out);
  mesh_slowdown_step (mesh, now);
  mesh_quarantine_step (mesh, now);
  key_rate_decay (&mesh->key_rate, now);
  walk_members (mesh, now, out);
  mesh_gossip_step (mesh, now, out);
  mesh_session_step (mesh, now, out);
  mesh_read_step (mesh, now, out);
  mesh_orders_step (mesh, now, out);
  mesh_expire_requests (mesh, now, out);
  mesh_route_waiting (mesh, FALSE, now, out);
  mesh_warmup_step (mesh, now, out);
  mesh_evacuation_step (mesh, now, out);
  mesh_admit_queued (mesh, now, out);
  mesh_stop_step (mesh, event, now, out);
}

/* Process EVENT, which occurred at NOW in microseconds, and add the resulting
   actions to OUT.  Once the end of the process was requested an event has no
   actions: what it began could not be finished.  */
void
mesh_step (struct mesh *mesh, const struct event *event, gint64 now,
           struct actions *out)
{
  mesh->last_event_at = now;
  if (mesh->exit_requested)
    {
      if (event->kind == EVENT_ROUTING)
        routing_free (event->u.routing.routing);
      return;
    }
  switch (event->kind)
    {
    case EVENT_TICK:
      mesh_evacuation_on_tick (mesh, now);
      if (now - mesh->last_tick_at >= MESH_LAG_USEC)
        mesh->lagged_at = now;
      mesh->last_tick_at = now;
      step_timers (mesh, &event->u.tick, now, out);
      break;
    case EVENT_ROUTING:
      mesh_routing_apply (mesh, &event->u.routing, now, out);
      break;
    case EVENT_EVACUATIONS:
      mesh_evacuation_on_records (mesh, &event->u.evacuations, now, out);
      break;
    case EVENT_FLEET_RECORDS:
      mesh_apply_records (mesh, &event->u.fleet_records, now, out);
      mesh_liveness_step (mesh, now, out);
      mesh_gossip_step (mesh, now, out);
      mesh_plan_step (mesh, now, out);
      mesh_orders_update (mesh, now, out);
      break;
    case EVENT_TOPIC_READ:
      mesh_read_ended (mesh, &event->u.topic_read, now, out);
      break;
    case EVENT_STORE_APPENDED:
      mesh_append_ended (mesh, &event->u.store_appended, now, out);
      mesh_gossip_step (mesh, now, out);
      mesh_plan_step (mesh, now, out);
      mesh_orders_update (mesh, now, out);
      break;
    case EVENT_HEARTBEAT:
      mesh_heartbeat (mesh, &event->u.heartbeat, now, out);
      break;
    case EVENT_DEREGISTER:
      mesh_deregister (mesh, &event->u.deregister, now, out);
      break;
    case EVENT_REQUEST:
      mesh_route_arrived (mesh, &event->u.request, now, out);
      break;
    case EVENT_ATTEMPT_ENDED:
      mesh_attempt_ended (mesh, &event->u.attempt_ended, now, out);
      break;
    case EVENT_BODY_ENDED:
      mesh_body_ended (mesh, &event->u.body_ended, now, out);
      break;
    case EVENT_DISCONNECTED:
      mesh_disconnected (mesh, event->u.disconnected.exchange, now, out);
      break;
    case EVENT_MESH_CALL:
      mesh_on_call (mesh, &event->u.mesh_call, now, out);
      break;
    case EVENT_MESH_REPLY:
      mesh_on_reply (mesh, &event->u.mesh_reply, now, out);
      break;
    case EVENT_KEY_ORDER_ENDED:
      mesh_order_ended (mesh, &event->u.key_order_ended, now, out);
      break;
    case EVENT_SERVER_LOAD:
      mesh_on_server_load (mesh, &event->u.server_load, now);
      break;
    case EVENT_DRAIN:
      mesh_stop_begin (mesh, now, out);
      break;
    case EVENT_RECORDS:
    case EVENT_LOG_FAILED:
    case EVENT_APPENDED:
    case EVENT_SERVER_UP:
    case EVENT_SERVER_DOWN:
    case EVENT_PEER_CALL:
    case EVENT_PEER_REPLY:
    case EVENT_SNAPSHOT_DECODED:
    case EVENT_SNAPSHOT_ENCODED:
      break;
    }
}

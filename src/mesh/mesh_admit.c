#include "mesh/mesh_parts.h"

/* A request that has less than this share of a mean run left is not begun.  */
#define RUN_LEAST_PERCENT 80

#define ADMIT_AGAIN_USEC ((gint64)20000) /* between looks for a grant */

/* What its server has is ended in so long before the process is killed.  */
#define CLOSE_MARGIN_USEC ((gint64)2000000)

/* A server that leaves gets its last request so long before it must not get
   any: the way to it takes time.  */
#define DRAIN_MARGIN_USEC ((gint64)400000)

/* Tell whether requests of SERVICE have one holder each.  */
gboolean
mesh_is_sharded (const struct mesh *mesh, const char *service)
{
  const struct route_service *known
      = mesh->routing != NULL ? routing_find_service (mesh->routing, service)
                              : NULL;

  if (known != NULL)
    return known->sharded;
  return fleet_state_map (&mesh->fleet, service) != NULL;
}

/* Tell whether the server here is to hold KEY, though it may not have been
   told yet.  */
static gboolean
is_owned (const struct mesh *mesh, const char *service, guint32 key)
{
  const struct shard_map *map = fleet_state_map (&mesh->fleet, service);
  const struct shard *shard;

  if (map == NULL || grant_is_leaving (&mesh->grant))
    return FALSE;
  shard = shard_map_find (map, key);
  return shard->state == SHARD_HELD && shard->next_owner[0] == '\0'
         && !mesh_is_handed_off (mesh, key)
         && strcmp (shard->owner, mesh->settings.name) == 0;
}

/* Tell whether this process, which was asked to stop, gives its server no more
   requests: it has none of its own callers' left, or little time.  */
gboolean
mesh_is_quiesced (const struct mesh *mesh, gint64 now)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  if (mesh->stop_requested_at == 0
      || now < mesh->stop_requested_at + MESH_STOP_SERVE_USEC)
    return FALSE;
  if (now >= mesh->stop_requested_at + mesh->settings.stop_grace_usec
                 - CLOSE_MARGIN_USEC)
    return TRUE;
  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    if (!((const struct mesh_request *)table_get (&mesh->requests, h))
             ->request.forwarded)
      return FALSE;
  return TRUE;
}

/* Why the server here gets no request now, or REASON_NONE.  */
static enum reason
closed_for (const struct mesh *mesh, gint64 now)
{
  const struct grant *grant = &mesh->grant;

  if (!server_instance_is_set (&grant->instance) || grant->presumed_dead)
    return REASON_SERVER_DOWN;
  if (mesh_is_quiesced (mesh, now))
    return REASON_DRAINING;
  if (grant_is_leaving (grant)
      && now >= grant->leave_acked_at + mesh->settings.drain_limit_usec
                    - DRAIN_MARGIN_USEC)
    return REASON_DRAINING;
  return REASON_NONE;
}

/* Give the request EXCHANGE, which has a slot, to the server.  */
static void
run (struct mesh *mesh, struct handle exchange, gint64 now,
     struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  struct action_run *action;

  mesh_request->phase = MESH_REQUEST_RUNNING;
  mesh_request->sent_at = now;
  mesh_log (out, LOG_EVENT_MESH_RUN, mesh_request->request.id,
            "server=%s key=%s rank=%d waited_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT
            " busy=%u/%u beat_ms=%" G_GINT64_FORMAT,
            mesh->grant.instance.id, mesh_request->request.key,
            (int)mesh_request->request.priority,
            (now - mesh_request->arrived_at) / USEC_PER_MSEC,
            (mesh_request->request.deadline - now) / USEC_PER_MSEC,
            mesh->admission.busy_slots, mesh->admission.slots,
            (now - mesh->grant.last_heartbeat_at) / USEC_PER_MSEC);
  action = &actions_add (out, ACTION_RUN)->u.run;
  action->exchange = exchange;
  action->attempt_id = ++mesh->last_attempt_id;
  action->deadline = mesh_request->request.deadline;
  g_strlcpy (action->server, mesh->grant.instance.id, sizeof action->server);
}

/* Say that TRANSIT waits, or is refused, for REASON, as COMING has it.  */
static void
note_queue (struct mesh *mesh, enum log_event_id id,
            const struct mesh_request *mesh_request, const char *reason,
            const struct admission_forecast *coming, gint64 now,
            struct actions *out)
{
  mesh_log (out, id, mesh_request->request.id,
            "reason=%s rank=%d busy=%u/%u waiting=%u ahead=%u"
            " wait_ms=%" G_GINT64_FORMAT " run_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT,
            reason, (int)mesh_request->request.priority,
            mesh->admission.busy_slots, mesh->admission.slots,
            mesh->admission.queue->len, coming->requests_ahead,
            coming->wait_usec / USEC_PER_MSEC,
            coming->run_usec / USEC_PER_MSEC,
            (mesh_request->request.deadline - now) / USEC_PER_MSEC);
}

/* Refuse the request that lost its place in the queue, if one did.  */
static void
refuse_displaced (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle displaced;

  if (admission_evict (&mesh->admission, &displaced)
      && table_get (&mesh->requests, displaced) != NULL)
    mesh_reject_here (mesh, displaced, REASON_OVERLOAD,
                      admission_retry_msec (&mesh->admission, now), now, out);
}

/* Ask the gate about the request EXCHANGE.  */
static void
pass_gate (struct mesh *mesh, struct handle exchange, gint64 now,
           struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  struct admission_forecast coming;
  enum reason reason;

  mesh_request->request.expected_run_usec = run_times_of_route (
      &mesh->run_times, mesh_request->request.route_number);
  coming = admission_forecast (&mesh->admission, &mesh_request->request, now);
  switch (admission_request (&mesh->admission, exchange,
                             &mesh_request->request, now, &reason))
    {
    case ADMISSION_RUN:
      run (mesh, exchange, now, out);
      break;
    case ADMISSION_QUEUE:
      mesh_request->phase = MESH_REQUEST_QUEUED;
      note_queue (mesh, LOG_EVENT_MESH_WAIT, mesh_request, "slots", &coming,
                  now, out);
      refuse_displaced (mesh, now, out);
      break;
    case ADMISSION_REFUSE:
      note_queue (mesh, LOG_EVENT_MESH_REFUSE, mesh_request,
                  reason_name (reason), &coming, now, out);
      mesh_reject_here (mesh, exchange, reason,
                        admission_retry_msec (&mesh->admission, now), now,
                        out);
      break;
    }
}

/* Tell whether TRANSIT, for a key that the server does not hold, is to wait
   until it does.  */
static gboolean
awaits_grant (const struct mesh *mesh, const struct mesh_request *mesh_request,
              gint64 now)
{
  return is_owned (mesh, mesh_request->request.service,
                   mesh_request->request.slice)
         && now < (mesh_request->arrived_at + mesh_request->request.deadline)
                      / 2;
}

/* Count that the key of TRANSIT was asked for, if it is owned here.  */
static void
count_key (struct mesh *mesh, const struct mesh_request *mesh_request,
           gint64 now)
{
  if (mesh_request->phase == MESH_REQUEST_WAITING
      && mesh_request->arrived_at < now && mesh_request->wait_logged)
    return;
  if (grant_covers_key (&mesh->grant, mesh_request->request.slice, now)
      || is_owned (mesh, mesh_request->request.service,
                   mesh_request->request.slice))
    key_rate_add (&mesh->key_rate, mesh_request->request.slice);
}

/* Bring the request EXCHANGE to the server beside this node.  */
void
mesh_admit (struct mesh *mesh, struct handle exchange, gint64 now,
            struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  enum reason reason = closed_for (mesh, now);

  count_key (mesh, mesh_request, now);
  if (reason == REASON_NONE
      && mesh_is_sharded (mesh, mesh_request->request.service)
      && !grant_covers_key (&mesh->grant, mesh_request->request.slice, now))
    {
      if (awaits_grant (mesh, mesh_request, now))
        {
          mesh_request->phase = MESH_REQUEST_WAITING;
          mesh_request->wait_logged = TRUE;
          mesh_request->retry_at = now + ADMIT_AGAIN_USEC;
          return;
        }
      reason = REASON_NOT_OWNER;
    }
  if (reason != REASON_NONE)
    mesh_reject_here (mesh, exchange, reason, 0, now, out);
  else
    pass_gate (mesh, exchange, now, out);
}

/* Tell why TRANSIT, which waited, cannot run here any more, or REASON_NONE. */
static enum reason
lost_claim (const struct mesh *mesh, const struct mesh_request *mesh_request,
            gint64 now)
{
  enum reason reason = closed_for (mesh, now);

  if (reason == REASON_NONE
      && mesh_is_sharded (mesh, mesh_request->request.service)
      && !grant_covers_key (&mesh->grant, mesh_request->request.slice, now))
    reason = REASON_NOT_OWNER;
  if (reason == REASON_NONE
      && mesh_request->request.deadline - now
             < run_times_of_route (&mesh->run_times,
                                   mesh_request->request.route_number)
                   * RUN_LEAST_PERCENT / 100)
    reason = REASON_OVERLOAD;
  return reason;
}

/* Give the slots that are free to requests that wait.  */
void
mesh_admit_queued (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle next;

  while (admission_next (&mesh->admission, now, &next))
    {
      const struct mesh_request *mesh_request
          = table_get (&mesh->requests, next);
      enum reason reason = REASON_NONE;
      if (mesh_request != NULL)
        reason = lost_claim (mesh, mesh_request, now);
      if (mesh_request != NULL && reason == REASON_NONE)
        {
          run (mesh, next, now, out);
          continue;
        }
      admission_release (&mesh->admission);
      if (mesh_request != NULL)
        mesh_reject_here (mesh, next, reason, 0, now, out);
    }
}

#include "mesh/mesh_parts.h"

/* A request with less than this share of its mean run time left is not
   started.  */
#define MIN_RUN_PERCENT 80

#define GRANT_RECHECK_USEC ((gint64)20000) /* between checks for a grant */

/* A server that leaves gets its last request this long before the drain limit
   has passed, since the request needs time to reach the server.  */
#define LEAVE_MARGIN_USEC ((gint64)400000)

/* Return whether each key of SERVICE has one owner.  */
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

/* Return whether the map assigns KEY to the local server, though the server
   may not have been told yet.  */
static gboolean
is_assigned_here (const struct mesh *mesh, const char *service, guint32 key)
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

/* Return why the local server does not get REQUEST now, or REASON_NONE.  */
static enum reason
refusal_reason (const struct mesh *mesh, const struct mesh_request *request,
                gint64 now)
{
  const struct grant *grant = &mesh->grant;

  if (!mesh_serves (mesh, request))
    return REASON_OTHER_SERVICE;
  if (!server_instance_is_set (&grant->instance) || grant->presumed_dead)
    return REASON_SERVER_DOWN;
  /* A request with a key waits here for the server's first heartbeat.  */
  if (!grant_may_run (grant)
      && !mesh_is_sharded (mesh, request->request.service))
    return REASON_SERVER_DOWN;
  if (mesh_is_quiesced (mesh, now)
      || !mesh_stop_takes_run (mesh, request->request.route_number, now))
    return REASON_DRAINING;
  if (grant_is_leaving (grant)
      && now >= grant->leave_acked_at + mesh->settings.drain_limit_usec
                    - LEAVE_MARGIN_USEC)
    return REASON_DRAINING;
  return mesh_evacuation_refusal (mesh, request, now);
}

/* Send the request EXCHANGE, which has a slot, to the server.  */
static void
run (struct mesh *mesh, struct handle exchange, gint64 now,
     struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct action_run *action;

  request->phase = MESH_REQUEST_RUNNING;
  mesh_call_add_parent (mesh, exchange);
  request->sent_at = now;
  mesh_log (out, LOG_EVENT_MESH_RUN, request->request.id,
            "server=%s service=%s key=%s rank=%d waited_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT
            " busy=%u/%u beat_ms=%" G_GINT64_FORMAT,
            mesh->grant.instance.id, mesh->settings.service,
            request->request.key, (int)request->request.priority,
            (now - request->arrived_at) / USEC_PER_MSEC,
            (request->request.deadline - now) / USEC_PER_MSEC,
            mesh->admission.busy_slots, mesh->admission.slots,
            (now - mesh->grant.last_heartbeat_at) / USEC_PER_MSEC);
  action = &actions_add (out, ACTION_RUN)->u.run;
  action->exchange = exchange;
  action->attempt_id = ++mesh->last_attempt_id;
  action->deadline = request->request.deadline;
  g_strlcpy (action->server, mesh->grant.instance.id, sizeof action->server);
  action->withholds_end
      = request->withholds_end && request->request.digest == 0;
}

/* Log that REQUEST waits or is refused for REASON, with the expected wait from
   FORECAST.  */
static void
log_queue (struct mesh *mesh, enum log_event_id id,
           const struct mesh_request *request, const char *reason,
           const struct admission_forecast *forecast, gint64 now,
           struct actions *out)
{
  mesh_log (out, id, request->request.id,
            "reason=%s rank=%d busy=%u/%u waiting=%u ahead=%u"
            " wait_ms=%" G_GINT64_FORMAT " run_ms=%" G_GINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT " call=%d free=%" G_GINT64_FORMAT
            " waited_ms=%" G_GINT64_FORMAT,
            reason, (int)request->request.priority, mesh->admission.busy_slots,
            mesh->admission.slots, mesh->admission.queue->len,
            forecast->requests_ahead, forecast->wait_usec / USEC_PER_MSEC,
            forecast->run_usec / USEC_PER_MSEC,
            (request->request.deadline - now) / USEC_PER_MSEC,
            request->request.is_call, forecast->free_milli,
            (now - request->arrived_at) / USEC_PER_MSEC);
}

/* Return after how many milliseconds the caller of REQUEST, which is refused
   at NOW, is to return.  */
static guint32
retry_msec (struct mesh *mesh, const struct mesh_request *request, gint64 now)
{
  gint64 usec
      = admission_retry_usec (&mesh->admission, &request->request, now);

  return (guint32)(usec / USEC_PER_MSEC);
}

/* Refuse EXCHANGE, which had a place in the queue and has lost it, or is not
   expected to complete any more.  */
static void
refuse_queued (struct mesh *mesh, struct handle exchange, gint64 now,
               struct actions *out)
{
  const struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct admission_forecast forecast;

  if (request == NULL)
    return;
  forecast = admission_forecast (&mesh->admission, &request->request, now);
  log_queue (mesh, LOG_EVENT_MESH_REFUSE, request,
             reason_name (REASON_OVERLOAD), &forecast, now, out);
  mesh_reject_here (mesh, exchange, REASON_OVERLOAD,
                    retry_msec (mesh, request, now), now, out);
}

/* Run or queue the request EXCHANGE, or refuse it, as the admission queue
   decides.  */
static void
enter_queue (struct mesh *mesh, struct handle exchange, gint64 now,
             struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct admission_forecast forecast;
  struct handle displaced;
  enum reason reason;

  request->request.expected_run_usec
      = run_times_of_route (&mesh->run_times, request->request.route_number);
  forecast = admission_forecast (&mesh->admission, &request->request, now);
  switch (admission_request (&mesh->admission, exchange, &request->request,
                             now, &reason))
    {
    case ADMISSION_RUN:
      run (mesh, exchange, now, out);
      break;
    case ADMISSION_QUEUE:
      request->phase = MESH_REQUEST_QUEUED;
      log_queue (mesh, LOG_EVENT_MESH_WAIT, request, "slots", &forecast, now,
                 out);
      if (admission_evict (&mesh->admission, &displaced))
        refuse_queued (mesh, displaced, now, out);
      break;
    case ADMISSION_REFUSE:
      log_queue (mesh, LOG_EVENT_MESH_REFUSE, request, reason_name (reason),
                 &forecast, now, out);
      mesh_reject_here (mesh, exchange, reason,
                        retry_msec (mesh, request, now), now, out);
      break;
    }
}

/* Return whether REQUEST, for a key that the server does not hold, is to wait
   for the grant.  */
static gboolean
grant_may_come (const struct mesh *mesh, const struct mesh_request *request,
                gint64 now)
{
  return is_assigned_here (mesh, request->request.service,
                           request->request.slice)
         && now < (request->arrived_at + request->request.deadline) / 2;
}

/* Count a request for the key of REQUEST if the key is owned here.  A request
   that is tried again after a wait is not counted again.  */
static void
count_key (struct mesh *mesh, const struct mesh_request *request, gint64 now)
{
  if (request->phase == MESH_REQUEST_WAITING && request->arrived_at < now
      && request->wait_logged)
    return;
  if (grant_covers_key (&mesh->grant, request->request.slice, now)
      || is_assigned_here (mesh, request->request.service,
                           request->request.slice))
    key_rate_add (&mesh->key_rate, request->request.slice);
}

/* Return why REQUEST does not enter the queue of the local server at NOW, or
   REASON_NONE.  AWAITS_GRANT tells whether it is to wait because the server is
   about to be granted its key.  */
enum reason
mesh_admit_check (const struct mesh *mesh, const struct mesh_request *request,
                  gint64 now, gboolean *awaits_grant)
{
  enum reason reason = refusal_reason (mesh, request, now);

  *awaits_grant = FALSE;
  if (reason != REASON_NONE
      || !mesh_is_sharded (mesh, request->request.service)
      || grant_covers_key (&mesh->grant, request->request.slice, now))
    return reason;
  *awaits_grant = grant_may_come (mesh, request, now);
  return REASON_NOT_OWNER;
}

/* Run the request EXCHANGE at the local backend server, queue it or refuse it.
   A request for a key that the server is about to be granted waits for the
   grant.  */
void
mesh_admit (struct mesh *mesh, struct handle exchange, gint64 now,
            struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  gboolean awaits_grant;
  enum reason reason = mesh_admit_check (mesh, request, now, &awaits_grant);

  count_key (mesh, request, now);
  if (awaits_grant)
    {
      request->phase = MESH_REQUEST_WAITING;
      request->wait_logged = TRUE;
      request->retry_at = now + GRANT_RECHECK_USEC;
    }
  else if (reason != REASON_NONE)
    mesh_reject_here (mesh, exchange, reason,
                      mesh_evacuation_retry_msec (reason), now, out);
  else
    enter_queue (mesh, exchange, now, out);
}

/* Return why REQUEST, which waited for a slot, cannot run here any more, or
   REASON_NONE.  */
static enum reason
queued_refusal_reason (const struct mesh *mesh,
                       const struct mesh_request *request, gint64 now)
{
  enum reason reason = refusal_reason (mesh, request, now);

  if (reason == REASON_NONE && mesh_is_sharded (mesh, request->request.service)
      && !grant_covers_key (&mesh->grant, request->request.slice, now))
    reason = REASON_NOT_OWNER;
  if (reason == REASON_NONE
      && request->request.deadline - now
             < run_times_of_route (&mesh->run_times,
                                   request->request.route_number)
                   * MIN_RUN_PERCENT / 100)
    reason = REASON_OVERLOAD;
  return reason;
}

/* Refuse the requests in the queue that are not expected to complete any
   more.  */
static void
refuse_late (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle late;

  while (admission_evict_late (&mesh->admission, now, &late))
    refuse_queued (mesh, late, now, out);
}

/* Give the free slots to requests in the queue.  */
void
mesh_admit_queued (struct mesh *mesh, gint64 now, struct actions *out)
{
  struct handle next;

  refuse_late (mesh, now, out);
  while (admission_next (&mesh->admission, now, &next))
    {
      const struct mesh_request *request = table_get (&mesh->requests, next);
      enum reason reason = REASON_NONE;
      if (request != NULL)
        reason = queued_refusal_reason (mesh, request, now);
      if (request != NULL && reason == REASON_NONE)
        run (mesh, next, now, out);
      else
        admission_give_back (&mesh->admission);
      if (reason != REASON_NONE)
        mesh_reject_here (mesh, next, reason, 0, now, out);
    }
}

#include "mesh/mesh_parts.h"
#include "types/request_digest.h"

#define ROUTE_RECHECK_USEC ((gint64)25000) /* between checks for an owner */

/* A request waits for an owner for at most one part in this many of the time
   to its deadline.  A request that would fail after a longer wait is better
   refused early.  */
#define WAIT_DIVISOR 2

/* A node that lagged this recently may have messages to read that tell of a
   newer configuration.  */
#define LAG_USEC ((gint64)3000000)

/* Return when the answer to a request by ROUTE that arrived at ARRIVED_AT is
   due by the target latency of the route; 0 if the route has none.  */
static gint64
route_due_at (const struct route *route, gint64 arrived_at)
{
  return route->target_latency_usec > 0
             ? arrived_at + route->target_latency_usec
             : 0;
}

/* Set the fields of REQUEST that depend on ROUTE, and advance the weights of
   ROUTE.  */
void
mesh_route_apply (const struct mesh *mesh, struct mesh_request *request,
                  struct route *route)
{
  struct request *message = &request->request;

  g_strlcpy (message->service, route_next_service (route),
             sizeof message->service);
  request_digest_set_service (message);
  g_strlcpy (request->route_name, route->name, sizeof request->route_name);
  message->run_class = route->run_class;
  message->priority = route->priority;
  message->route_number = route->number;
  message->due_at = route_due_at (route, request->arrived_at);
  request->max_attempts = MAX (1, route->max_attempts);
  if (route->timeout_usec > 0)
    message->deadline
        = MIN (message->deadline, request->arrived_at + route->timeout_usec);
  message->deadline = mesh_stop_deadline (mesh, message->deadline);
}

/* Return why no route matched.  The configuration of this node may be missing
   or out of date.  A node that was behind its timer was also behind the
   messages that tell it of a new one.  */
static enum reason
no_route_reason (const struct mesh *mesh, gint64 now)
{
  if (!mesh->config_usable || !mesh_routing_is_recent (mesh, now)
      || (mesh->lagged_at != 0 && now - mesh->lagged_at < LAG_USEC)
      || now - mesh->last_tick_at >= MESH_LAG_USEC
      || mesh_routing_is_outdated (mesh))
    return REASON_NO_CONFIG;
  return REASON_NO_RULE;
}

/* Refuse the request EXCHANGE, which no route matched, and log what that was
   decided by.  */
static void
refuse_no_route (struct mesh *mesh, struct handle exchange,
                 const struct event_request *event, gint64 now,
                 struct actions *out)
{
  enum reason reason = no_route_reason (mesh, now);

  mesh_log (
      out, LOG_EVENT_MESH_NO_ROUTE, event->request.id,
      "reason=%s config=%" G_GUINT64_FORMAT " config_ms=%" G_GINT64_FORMAT
      " behind_ms=%" G_GINT64_FORMAT " source=%s reads=%d"
      " session_age_ms=%" G_GINT64_FORMAT " tick_ms=%" G_GINT64_FORMAT,
      reason_name (reason), mesh_routing_version (mesh),
      mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now),
      mesh_behind_msec (mesh, now), mesh_routing_source (mesh),
      mesh_reads_config (mesh, now),
      mesh_age_msec (mesh->freshness[MESH_TOPIC_FLEET].confirmed_at, now),
      (now - mesh->last_tick_at) / USEC_PER_MSEC);
  mesh_refuse (mesh, exchange, reason, 0, now, out);
}

/* Send REQUEST to the member in PICK.  */
static void
send_to_member (struct mesh *mesh, struct handle exchange,
                struct mesh_request *request, const struct mesh_pick *pick,
                gint64 now, struct actions *out)
{
  const struct fleet_member *member
      = fleet_state_member_at (&mesh->fleet, pick->member);
  struct peer_state *peer = table_get (&mesh->peers, pick->member);
  struct action_forward *action;

  breaker_on_sent (&peer->breaker, now);
  peer_state_on_sent (peer, now);
  request->phase = MESH_REQUEST_SENT;
  request->sent_to = pick->member;
  request->sent_at = now;
  request->request.attempts++;
  mesh_log (
      out, LOG_EVENT_MESH_ROUTE, request->request.id,
      "service=%s route=%s rank=%d key=%s to=%s try=%u"
      " config=%" G_GUINT64_FORMAT " config_ms=%" G_GINT64_FORMAT
      " behind_ms=%" G_GINT64_FORMAT " records=%" G_GUINT64_FORMAT
      " heard_ms=%" G_GINT64_FORMAT " load_ms=%" G_GINT64_FORMAT
      " busy=%u/%u compared=%u"
      " cost_ms=%" G_GINT64_FORMAT " service_busy=%" G_GINT64_FORMAT,
      request->request.service, request->route_name,
      (int)request->request.priority, request->request.key, member->name,
      request->request.attempts, mesh_routing_version (mesh),
      mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now),
      mesh_behind_msec (mesh, now), mesh->fleet.applied_offset,
      mesh_age_msec (peer->last_message_at, now),
      mesh_age_msec (peer->load_reported_at, now),
      peer->load.running + peer->load.waiting, peer_state_slots (peer, now),
      pick->compared, pick->cost_usec / USEC_PER_MSEC, pick->busy_permille);
  action = &actions_add (out, ACTION_FORWARD)->u.forward;
  action->exchange = exchange;
  action->peer_incarnation = peer->incarnation;
  action->address = member->peer_address;
  action->request = request->request;
  action->withholds_end
      = request->withholds_end && request->request.digest == 0;
}

/* Return how long REQUEST may still wait for a node.  A call waits as long as
   it can be answered in time: it fails its parent, which holds a slot, while a
   refused caller can return.  */
static gint64
longest_wait_usec (const struct mesh_request *request, gint64 now)
{
  gint64 left_usec = request->request.deadline - now;
  gint64 wait_until
      = request->arrived_at
        + (request->request.deadline - request->arrived_at) / WAIT_DIVISOR;

  if (request->request.is_call)
    return left_usec - MESH_ATTEMPT_MIN_USEC;
  return now >= wait_until ? 0 : left_usec / WAIT_DIVISOR;
}

/* Let REQUEST wait for a node, or refuse it for the reason in PICK.  */
static void
wait_or_refuse (struct mesh *mesh, struct handle exchange,
                struct mesh_request *request, const struct mesh_pick *pick,
                gint64 now, struct actions *out)
{
  gint64 left_usec = request->request.deadline - now;
  gint64 wait_usec = longest_wait_usec (request, now);

  if (request->request.forwarded || wait_usec <= 0
      || pick->wait_usec > wait_usec || pick->reason == REASON_NO_KEY
      || pick->reason == REASON_EVACUATED)
    {
      mesh_refuse (mesh, exchange, pick->reason, pick->wait_usec, now, out);
      return;
    }
  request->phase = MESH_REQUEST_WAITING;
  request->retry_at = now + ROUTE_RECHECK_USEC;
  if (request->wait_logged)
    return;
  request->wait_logged = TRUE;
  mesh_log (out, LOG_EVENT_MESH_WAIT, request->request.id,
            "reason=%s service=%s key=%s records=%" G_GUINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT,
            reason_name (pick->reason), request->request.service,
            request->request.key, mesh->fleet.applied_offset,
            left_usec / USEC_PER_MSEC);
}

/* Send the request EXCHANGE to the local server or to the node that is to run
   it now, let it wait, or refuse it.  */
void
mesh_route_request (struct mesh *mesh, struct handle exchange, gint64 now,
                    struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, exchange);
  struct mesh_pick pick;

  if (mesh_quarantine_stops (mesh, exchange, now, out))
    return;
  pick = mesh_pick (mesh, request, now);
  if (pick.is_local)
    mesh_admit (mesh, exchange, now, out);
  else if (handle_is_set (pick.member))
    {
      if (!mesh_prospect_refuse (mesh, exchange, pick.member, now, out))
        send_to_member (mesh, exchange, request, &pick, now, out);
    }
  else
    wait_or_refuse (mesh, exchange, request, &pick, now, out);
}

/* Route a request that a caller sent.  */
static void
route_from_caller (struct mesh *mesh, const struct event_request *event,
                   gint64 now, struct actions *out)
{
  struct mesh_request *request = table_get (&mesh->requests, event->exchange);
  struct routing *routing = mesh_routing_usable (mesh);
  struct route *route
      = routing != NULL ? routing_match (routing, event->host, event->target)
                        : NULL;

  if (!mesh_stop_takes_request (mesh, route != NULL ? route->number : 0, now))
    {
      mesh_refuse (mesh, event->exchange, REASON_DRAINING, MESH_RESTART_USEC,
                   now, out);
      return;
    }
  if (route == NULL)
    {
      refuse_no_route (mesh, event->exchange, event, now, out);
      return;
    }
  if (route->is_unusable)
    {
      mesh_refuse (mesh, event->exchange, REASON_BAD_ROUTE, 0, now, out);
      return;
    }
  mesh_route_apply (mesh, request, route);
  mesh_call_recognise (mesh, request, now);
  mesh_add_retry (mesh, request->request.service);
  mesh_route_request (mesh, event->exchange, now, out);
}

/* Set the name and the due time of the route that the entry node chose for
   REQUEST, if the configuration here has it.  */
static void
set_known_route (const struct mesh *mesh, struct mesh_request *request)
{
  const struct route *route
      = mesh->routing != NULL
            ? routing_find_route (mesh->routing, request->request.route_number)
            : NULL;

  if (route == NULL)
    return;
  g_strlcpy (request->route_name, route->name, sizeof request->route_name);
  request->request.due_at = route_due_at (route, request->arrived_at);
}

/* Process a request that arrived from a caller, or from the node at which it
   entered the mesh.  */
void
mesh_route_arrived (struct mesh *mesh, const struct event_request *event,
                    gint64 now, struct actions *out)
{
  struct mesh_request *request
      = table_mirror (&mesh->requests, event->exchange);

  request->request = event->request;
  request->arrived_at = now;
  request->caller_deadline = event->request.deadline;
  request->max_attempts = 1;
  request->body_bytes = MAX (0, event->body_length);
  if (!event->request.forwarded)
    {
      route_from_caller (mesh, event, now, out);
      return;
    }
  set_known_route (mesh, request);
  if (event->request.key[0] != '\0')
    request->request.slice
        = (guint32)g_ascii_strtoull (event->request.key, NULL, 10)
          % SHARD_KEY_COUNT;
  mesh_admit (mesh, event->exchange, now, out);
}

/* Route the waiting requests whose retry is due, or ALL of them.  */
void
mesh_route_waiting (struct mesh *mesh, gboolean all, gint64 now,
                    struct actions *out)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *request = table_get (&mesh->requests, h);
      if (request->phase != MESH_REQUEST_WAITING
          || (!all && request->retry_at > now))
        continue;
      if (request->request.forwarded)
        mesh_admit (mesh, h, now, out);
      else
        mesh_route_request (mesh, h, now, out);
    }
}

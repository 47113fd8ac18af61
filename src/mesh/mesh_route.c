#include "mesh/mesh_parts.h"

#define ROUTE_AGAIN_USEC ((gint64)25000) /* between looks for an owner */

/* A request is kept waiting for at most this share of the time that it has;
   one that waited longer and failed would have been refused better.  */
#define WAIT_SHARE 2 /* half */

/* What a node may have saved up, in thousandths of a request sent again, and
   begins with.  All nodes may spend theirs at the same time.  */
#define BUDGET_SAVED_MILLI 3000u

/* What a caller's request earns, in thousandths of one sent again.  It is well
   below the fifth that the platform allows, since requests that are run again
   make their calls again.  */
#define BUDGET_EARN_MILLI 70u

#define CONFIG_STALE_USEC ((gint64)3000000) /* a path may be new by then */

/* When a request by ROUTE that came at CAME is due; 0 if that is not known. */
static gint64
due_by (const struct route *route, gint64 came)
{
  return route->target_latency_usec > 0 ? came + route->target_latency_usec
                                        : 0;
}

/* Set up TRANSIT from ROUTE.  */
static void
apply_route (const struct mesh *mesh, struct mesh_request *mesh_request,
             struct route *route)
{
  struct request *request = &mesh_request->request;

  g_strlcpy (request->service, route_next_service (route),
             sizeof request->service);
  g_strlcpy (mesh_request->route_name, route->name,
             sizeof mesh_request->route_name);
  request->run_class = route->run_class;
  request->priority = route->priority;
  request->route_number = route->number;
  request->due_at = due_by (route, mesh_request->arrived_at);
  mesh_request->max_attempts = MAX (1, route->max_attempts);
  if (route->timeout_usec > 0)
    request->deadline = MIN (request->deadline,
                             mesh_request->arrived_at + route->timeout_usec);
  if (mesh->stop_requested_at != 0)
    request->deadline
        = MIN (request->deadline, mesh->stop_requested_at
                                      + mesh->settings.stop_grace_usec
                                      - MESH_KILL_MARGIN_USEC);
}

/* Why no route was found: this node may not have heard of it.  */
static enum reason
unmatched (const struct mesh *mesh, gint64 now)
{
  gint64 age = session_age_usec (&mesh->session, now);

  if (mesh->routing == NULL || age < 0 || age > CONFIG_STALE_USEC)
    return REASON_NO_CONFIG;
  return REASON_NO_RULE;
}

/* The budget for sending requests of SERVICE again.  */
static struct retry_budget *
budget_of (struct mesh *mesh, const char *service)
{
  struct mesh_retry_budget fresh = { .budget.milli_left = BUDGET_SAVED_MILLI };
  guint i;

  for (i = 0; i < mesh->retry_budgets->len; i++)
    {
      struct mesh_retry_budget *budget
          = &g_array_index (mesh->retry_budgets, struct mesh_retry_budget, i);
      if (strcmp (budget->service, service) == 0)
        return &budget->budget;
    }
  g_strlcpy (fresh.service, service, sizeof fresh.service);
  g_array_append_val (mesh->retry_budgets, fresh);
  return &g_array_index (mesh->retry_budgets, struct mesh_retry_budget,
                         mesh->retry_budgets->len - 1)
              .budget;
}

/* A caller's request for SERVICE came: it earns a share of one sent again.  */
static void
earn_retry (struct mesh *mesh, const char *service)
{
  struct retry_budget *budget = budget_of (mesh, service);

  budget->milli_left
      = MIN (budget->milli_left + BUDGET_EARN_MILLI, BUDGET_SAVED_MILLI);
}

/* Send TRANSIT to the member that PICK names.  */
static void
forward (struct mesh *mesh, struct handle exchange,
         struct mesh_request *mesh_request, const struct mesh_pick *pick,
         gint64 now, struct actions *out)
{
  const struct fleet_member *member
      = fleet_state_member_at (&mesh->fleet, pick->member);
  struct peer_state *peer_state = table_get (&mesh->peers, pick->member);
  struct action_forward *action;

  breaker_on_sent (&peer_state->breaker, now);
  peer_state_on_sent (peer_state, now);
  mesh_request->phase = MESH_REQUEST_SENT;
  mesh_request->sent_to = pick->member;
  mesh_request->sent_at = now;
  mesh_request->request.attempts++;
  mesh_log (out, LOG_EVENT_MESH_ROUTE, mesh_request->request.id,
            "service=%s route=%s rank=%d key=%s to=%s try=%u"
            " config=%" G_GUINT64_FORMAT " records=%" G_GUINT64_FORMAT
            " heard_ms=%" G_GINT64_FORMAT " load_ms=%" G_GINT64_FORMAT
            " busy=%u/%u",
            mesh_request->request.service, mesh_request->route_name,
            (int)mesh_request->request.priority, mesh_request->request.key,
            member->name, mesh_request->request.attempts,
            mesh->routing != NULL ? mesh->routing->version : 0,
            mesh->fleet.applied_offset,
            mesh_age_msec (peer_state->last_message_at, now),
            mesh_age_msec (peer_state->load_reported_at, now),
            peer_state->load.running + peer_state->load.waiting,
            peer_state->load.slots);
  action = &actions_add (out, ACTION_FORWARD)->u.forward;
  action->exchange = exchange;
  action->peer_incarnation = peer_state->incarnation;
  action->address = member->peer_address;
  action->request = mesh_request->request;
}

/* Have TRANSIT wait for a node, or refuse it for what PICK says.  */
static void
wait_or_refuse (struct mesh *mesh, struct handle exchange,
                struct mesh_request *mesh_request,
                const struct mesh_pick *pick, gint64 now, struct actions *out)
{
  gint64 left = mesh_request->request.deadline - now;
  gint64 until = mesh_request->arrived_at
                 + (mesh_request->request.deadline - mesh_request->arrived_at)
                       / WAIT_SHARE;

  if (mesh_request->request.forwarded || now >= until
      || pick->wait_usec > left / 2 || pick->reason == REASON_NO_KEY)
    {
      mesh_refuse (mesh, exchange, pick->reason, pick->wait_usec, now, out);
      return;
    }
  mesh_request->phase = MESH_REQUEST_WAITING;
  mesh_request->retry_at = now + ROUTE_AGAIN_USEC;
  if (mesh_request->wait_logged)
    return;
  mesh_request->wait_logged = TRUE;
  mesh_log (out, LOG_EVENT_MESH_WAIT, mesh_request->request.id,
            "reason=%s service=%s key=%s records=%" G_GUINT64_FORMAT
            " left_ms=%" G_GINT64_FORMAT,
            reason_name (pick->reason), mesh_request->request.service,
            mesh_request->request.key, mesh->fleet.applied_offset,
            left / USEC_PER_MSEC);
}

/* Send the request EXCHANGE to where it belongs now.  */
void
mesh_route_request (struct mesh *mesh, struct handle exchange, gint64 now,
                    struct actions *out)
{
  struct mesh_request *mesh_request = table_get (&mesh->requests, exchange);
  struct mesh_pick pick = mesh_pick (mesh, mesh_request, now);

  if (fleet_state_crashes (&mesh->fleet, mesh_request->request.digest)
      >= SUSPECT_QUARANTINE_INCIDENTS)
    {
      mesh_log (
          out, LOG_EVENT_MESH_POISON, mesh_request->request.id,
          "digest=%016" G_GINT64_MODIFIER "x crashes=%u outcome=refused",
          mesh_request->request.digest,
          fleet_state_crashes (&mesh->fleet, mesh_request->request.digest));
      mesh_refuse (mesh, exchange, REASON_QUARANTINED, 0, now, out);
    }
  else if (pick.is_local)
    mesh_admit (mesh, exchange, now, out);
  else if (handle_is_set (pick.member))
    forward (mesh, exchange, mesh_request, &pick, now, out);
  else
    wait_or_refuse (mesh, exchange, mesh_request, &pick, now, out);
}

/* A caller's request arrived.  */
static void
begin_here (struct mesh *mesh, const struct event_request *event, gint64 now,
            struct actions *out)
{
  struct mesh_request *mesh_request
      = table_get (&mesh->requests, event->exchange);
  struct route *route
      = mesh->routing != NULL
            ? routing_match (mesh->routing, event->host, event->target)
            : NULL;

  if (mesh->stop_requested_at != 0
      && now >= mesh->stop_requested_at + MESH_STOP_REFUSE_USEC)
    {
      mesh_refuse (mesh, event->exchange, REASON_DRAINING, MESH_RESTART_USEC,
                   now, out);
      return;
    }
  if (route == NULL)
    {
      mesh_refuse (mesh, event->exchange, unmatched (mesh, now), 0, now, out);
      return;
    }
  apply_route (mesh, mesh_request, route);
  earn_retry (mesh, mesh_request->request.service);
  mesh_route_request (mesh, event->exchange, now, out);
}

/* Set from the configuration here what it says of the route of TRANSIT, which
   the node chose that it entered at.  */
static void
know_route (const struct mesh *mesh, struct mesh_request *mesh_request)
{
  const struct route *route
      = mesh->routing != NULL ? routing_find_route (
            mesh->routing, mesh_request->request.route_number)
                              : NULL;

  if (route == NULL)
    return;
  g_strlcpy (mesh_request->route_name, route->name,
             sizeof mesh_request->route_name);
  mesh_request->request.due_at = due_by (route, mesh_request->arrived_at);
}

/* A request arrived, from a caller or from the node that it entered at.  */
void
mesh_route_arrived (struct mesh *mesh, const struct event_request *event,
                    gint64 now, struct actions *out)
{
  struct mesh_request *mesh_request
      = table_mirror (&mesh->requests, event->exchange);

  mesh_request->request = event->request;
  mesh_request->arrived_at = now;
  mesh_request->max_attempts = 1;
  mesh_request->body_bytes = MAX (0, event->body_length);
  if (!event->request.forwarded)
    {
      begin_here (mesh, event, now, out);
      return;
    }
  know_route (mesh, mesh_request);
  if (event->request.key[0] != '\0')
    mesh_request->request.slice
        = (guint32)g_ascii_strtoull (event->request.key, NULL, 10)
          % SHARD_KEY_COUNT;
  mesh_admit (mesh, event->exchange, now, out);
}

/* Route the requests whose wait is over, or ALL that wait.  */
void
mesh_route_waiting (struct mesh *mesh, gboolean all, gint64 now,
                    struct actions *out)
{
  struct handle h = table_next (&mesh->requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->requests, h))
    {
      const struct mesh_request *mesh_request = table_get (&mesh->requests, h);
      if (mesh_request->phase != MESH_REQUEST_WAITING
          || (!all && mesh_request->retry_at > now))
        continue;
      if (mesh_request->request.forwarded)
        mesh_admit (mesh, h, now, out);
      else
        mesh_route_request (mesh, h, now, out);
    }
}

/* Pay for sending TRANSIT again after it may have reached a server; FALSE if
   that is too much.  */
gboolean
mesh_spend_retry (struct mesh *mesh, const struct mesh_request *mesh_request)
{
  return retry_budget_spend (budget_of (mesh, mesh_request->request.service));
}

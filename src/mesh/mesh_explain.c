#include "mesh/mesh_explanation.h"

#include "mesh/mesh_comparison.h"
#include "mesh/mesh_parts.h"
#include "mesh/mesh_trial.h"
#include "types/request_digest.h"

/* Explanations of where requests would go.  All decisions are taken on copies
   of the mesh, by the functions that decide on requests.  */

/* Return the request that QUERY describes, as it arrives at MESH at NOW.  */
static struct mesh_request
arriving_request (const struct mesh *mesh,
                  const struct mesh_explain_query *query, gint64 now)
{
  struct mesh_request request = { .arrived_at = now,
                                  .caller_deadline = query->deadline,
                                  .body_bytes = query->body_bytes };

  request.request.deadline = query->deadline;
  request.request.digest = query->digest;
  if (query->digest == 0)
    {
      request.request.head_digest = request_digest_of_head (
          query->method, query->target, query->host, mesh->settings.service);
      request_digest_set_body (&request.request,
                               request_digest_of_body ("", 0));
    }
  request.request.slice = query->key_number;
  g_strlcpy (request.request.key, query->key, sizeof request.request.key);
  return request;
}

/* Fill OWNER with the shard of the key of REQUEST and its owner.  */
static void
explain_owner (struct mesh *trial, const struct mesh_request *request,
               gint64 now, struct mesh_explained_owner *owner)
{
  const struct shard_map *map
      = fleet_state_map (&trial->fleet, request->request.service);
  const struct fleet_member *member;
  const struct peer_state *peer;
  struct handle h;

  owner->heard_age_msec = -1;
  if (map == NULL)
    return;
  owner->has_shard = TRUE;
  owner->shard = *shard_map_find (map, request->request.slice);
  h = fleet_state_find (&trial->fleet, owner->shard.owner);
  member = fleet_state_member_at (&trial->fleet, h);
  if (member == NULL)
    return;
  peer = table_get (&trial->peers, h);
  owner->is_member = TRUE;
  g_strlcpy (owner->zone, member->zone, sizeof owner->zone);
  owner->is_local = strcmp (member->name, trial->settings.name) == 0;
  owner->is_evacuated = mesh_is_evacuated (trial, member);
  owner->serves_key = mesh_evacuation_serves_keys (trial, member, now);
  owner->obstacle = mesh_pick_link_obstacle (trial, member, h, now);
  if (peer != NULL)
    owner->heard_age_msec = mesh_age_msec (peer->last_message_at, now);
}

/* Fill the figures of SERVER from PEER, what is known of it.  */
static void
set_figures (struct mesh_explained_server *server,
             const struct peer_state *peer, gint64 now)
{
  server->load = peer->load;
  server->load_age_msec = mesh_age_msec (peer->load_reported_at, now);
  server->heard_age_msec = mesh_age_msec (peer->last_message_at, now);
  server->slots = peer_state_slots (peer, now);
  server->in_flight = peer->in_flight;
}

/* Set whether the server of the member H, described by SERVER, is among those
   drawn in COMPARISON, and its cost.  */
static void
set_drawn (struct mesh_explained_server *server, struct handle h,
           const struct mesh_comparison *comparison, gint64 body_bytes)
{
  const struct server_placement *placement = &comparison->load.placement;
  guint i;

  for (i = 0; i < placement_count (placement); i++)
    {
      if (!handle_equal (placement_at (placement, i)->member, h))
        continue;
      server->is_drawn = TRUE;
      server->cost_usec = even_load_cost (&comparison->load, i, body_bytes);
    }
}

/* Describe the servers of the service of REQUEST, as the next choice in TRIAL
   sees them.  */
static void
explain_servers (struct mesh *trial, const struct mesh_request *request,
                 gint64 now, struct mesh_explanation *explanation)
{
  struct handle h = table_next (&trial->fleet.members, HANDLE_NONE);
  struct peer_state local
      = { .load = mesh_load_report (trial, now), .load_reported_at = now };
  struct mesh_comparison comparison;
  struct even_load_choice choice;

  mesh_pick_compare (trial, request, trial->random_count + 1, now,
                     &comparison);
  choice = even_load_choose (&comparison.load, request->body_bytes);
  explanation->busy_permille = choice.busy_permille;
  for (; handle_is_set (h); h = table_next (&trial->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&trial->fleet, h);
      const struct peer_state *peer = table_get (&trial->peers, h);
      struct mesh_explained_server server
          = { .load_age_msec = -1, .heard_age_msec = -1 };
      if (strcmp (member->service, request->request.service) != 0)
        continue;
      g_strlcpy (server.name, member->name, sizeof server.name);
      g_strlcpy (server.zone, member->zone, sizeof server.zone);
      server.obstacle = mesh_pick_obstacle (trial, member, h, now);
      server.is_local = strcmp (member->name, trial->settings.name) == 0;
      server.is_near = strcmp (member->zone, trial->settings.zone) == 0;
      if (server.is_local)
        peer = &local;
      if (peer != NULL)
        set_figures (&server, peer, now);
      set_drawn (&server, h, &comparison, request->body_bytes);
      server.is_taken = handle_equal (h, choice.member);
      g_array_append_val (explanation->servers, server);
    }
}

/* Put into ADMISSION what admission to the local server of TRIAL does with
   REQUEST.  */
static void
explain_admission (struct mesh *trial, struct mesh_request *request,
                   gint64 now, struct mesh_explained_admission *admission)
{
  struct admission *gate = &trial->admission;

  admission->busy_slots = gate->busy_slots;
  admission->slots = gate->slots;
  admission->waiting = gate->queue->len;
  admission->cold_left_msec
      = warmup_left_usec (&gate->warmup, now) / USEC_PER_MSEC;
  admission->result = ADMISSION_REFUSE;
  admission->reason
      = mesh_admit_check (trial, request, now, &admission->awaits_grant);
  if (admission->reason != REASON_NONE)
    return;
  request->request.expected_run_usec
      = run_times_of_route (&trial->run_times, request->request.route_number);
  admission->forecast = admission_forecast (gate, &request->request, now);
  admission->has_forecast = TRUE;
  admission->result = admission_request (gate, HANDLE_NONE, &request->request,
                                         now, &admission->reason);
}

/* Explain in EXPLANATION the choice of a server for REQUEST, which ROUTE of
   TRIAL matches.  */
static void
explain_choice (struct mesh *trial, struct mesh_request *request,
                struct route *route, gint64 now,
                struct mesh_explanation *explanation)
{
  struct mesh_pick pick;

  explanation->has_route = TRUE;
  route_copy (&explanation->route, route);
  if (route->is_unusable)
    return;
  mesh_route_apply (trial, request, route);
  g_strlcpy (explanation->service, request->request.service,
             sizeof explanation->service);
  explanation->is_sharded = mesh_is_sharded (trial, request->request.service);
  if (!explanation->is_sharded)
    explain_servers (trial, request, now, explanation);
  else if (request->request.key[0] != '\0')
    explain_owner (trial, request, now, &explanation->owner);
  pick = mesh_pick (trial, request, now);
  explanation->reason = pick.reason;
  explanation->has_admission
      = pick.reason != REASON_NO_KEY
        && (pick.is_local
            || strcmp (request->request.service, trial->settings.service)
                   == 0);
  if (explanation->has_admission)
    explain_admission (trial, request, now, &explanation->admission);
}

/* Put into EXPLANATION what ACTION does with the request, if it is about
   EXCHANGE.  */
static void
read_action (const struct mesh *trial, const struct action *action,
             struct handle exchange, struct mesh_explanation *explanation)
{
  const struct mesh_request *request;

  switch (action->kind)
    {
    case ACTION_FORWARD:
      if (!handle_equal (action->u.forward.exchange, exchange))
        break;
      request = table_get (&trial->requests, exchange);
      explanation->end = MESH_EXPLAINED_SENT;
      explanation->reason = REASON_NONE;
      g_strlcpy (explanation->member,
                 fleet_state_member_at (&trial->fleet, request->sent_to)->name,
                 sizeof explanation->member);
      break;
    case ACTION_RUN:
      if (!handle_equal (action->u.run.exchange, exchange))
        break;
      explanation->end = MESH_EXPLAINED_RUN;
      explanation->reason = REASON_NONE;
      g_strlcpy (explanation->member, trial->settings.name,
                 sizeof explanation->member);
      break;
    case ACTION_ANSWER:
      if (!handle_equal (action->u.answer.exchange, exchange))
        break;
      explanation->end = MESH_EXPLAINED_REFUSED;
      explanation->reason = action->u.answer.reason;
      explanation->retry_msec = action->u.answer.retry_after_msec;
      break;
    default:
      break;
    }
}

/* Return why the request EXCHANGE is kept by TRIAL, which EXPLANATION tells in
   part.  */
static enum reason
reason_of_wait (const struct mesh *trial, struct handle exchange,
                const struct mesh_explanation *explanation)
{
  if (handle_equal (trial->probe.exchange, exchange))
    return REASON_QUARANTINED;
  if (explanation->reason != REASON_NONE)
    return explanation->reason;
  return trial->exit_requested ? REASON_DRAINING
                               : explanation->admission.reason;
}

/* Pass the request of QUERY to TRIAL and put into EXPLANATION what is done
   with it.  */
static void
explain_end (struct mesh *trial, const struct mesh_explain_query *query,
             gint64 now, struct mesh_explanation *explanation)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct handle exchange = handle_make (trial->requests.row_count, 1);
  const struct mesh_request *request;
  struct actions actions;
  guint i;

  event.u.request.request = arriving_request (trial, query, now).request;
  event.u.request.exchange = exchange;
  event.u.request.host = query->host;
  event.u.request.target = query->target;
  event.u.request.body_length = query->body_bytes;
  actions_init (&actions);
  mesh_step (trial, &event, now, &actions);
  request = table_get (&trial->requests, exchange);
  explanation->end = request != NULL && request->phase == MESH_REQUEST_QUEUED
                         ? MESH_EXPLAINED_QUEUED
                         : MESH_EXPLAINED_WAITS;
  if (explanation->end == MESH_EXPLAINED_QUEUED)
    g_strlcpy (explanation->member, trial->settings.name,
               sizeof explanation->member);
  for (i = 0; i < actions.items->len; i++)
    read_action (trial, actions_at (&actions, i), exchange, explanation);
  actions_clear (&actions);
  if (explanation->end == MESH_EXPLAINED_WAITS)
    explanation->reason = reason_of_wait (trial, exchange, explanation);
}

/* Explain in EXPLANATION what MESH would do with the request of QUERY if it
   arrived at NOW.  Clear EXPLANATION with mesh_explanation_clear.  */
void
mesh_explain (const struct mesh *mesh, const struct mesh_explain_query *query,
              gint64 now, struct mesh_explanation *explanation)
{
  struct mesh_request request = arriving_request (mesh, query, now);
  struct routing *routing;
  struct route *route;
  struct mesh trial;

  memset (explanation, 0, sizeof *explanation);
  explanation->servers
      = g_array_new (FALSE, TRUE, sizeof (struct mesh_explained_server));
  explanation->config_version = mesh_routing_version (mesh);
  explanation->config_age_msec
      = mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now);
  mesh_trial_init (&trial, mesh);
  routing = mesh_routing_usable (&trial);
  route = routing != NULL ? routing_match (routing, query->host, query->target)
                          : NULL;
  if (route != NULL)
    explain_choice (&trial, &request, route, now, explanation);
  mesh_trial_clear (&trial);
  mesh_trial_init (&trial, mesh);
  explain_end (&trial, query, now, explanation);
  mesh_trial_clear (&trial);
}

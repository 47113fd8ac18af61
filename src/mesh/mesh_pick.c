#include "mesh/mesh_parts.h"
#include "serve/even_load.h"

/* A shard that changes its owner is held again after about this time, which
   allows for the heartbeats of the two servers and the appends in between.  */
#define HANDOVER_USEC ((gint64)700000)

/* Return whether REQUEST was refused or failed at MEMBER before.  */
static gboolean
was_tried (const struct mesh_request *request, struct handle member)
{
  guint i;

  for (i = 0; i < MIN (request->tried_count, MESH_REQUEST_TRIED_MAX); i++)
    if (handle_equal (request->tried_members[i], member))
      return TRUE;
  return FALSE;
}

/* Return whether REQUEST was refused since the data centre of MEMBER is
   evacuated, which this node may not have heard yet.  */
static gboolean
is_told_evacuated (const struct mesh *mesh, const struct mesh_request *request,
                   const struct fleet_member *member)
{
  const struct fleet_member *refused
      = fleet_state_member_at (&mesh->fleet, request->evacuated_at);

  return refused != NULL && strcmp (refused->zone, member->zone) == 0;
}

/* Return whether MEMBER is this node.  */
static gboolean
is_here (const struct mesh *mesh, const struct fleet_member *member)
{
  return strcmp (member->name, mesh->settings.name) == 0;
}

/* Return whether requests may be sent to MEMBER now.  */
static gboolean
is_reachable (struct mesh *mesh, const struct fleet_member *member,
              struct handle h, gint64 now)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);

  if (is_here (mesh, member))
    return TRUE;
  return peer != NULL && peer_state_is_responsive (peer, now)
         && breaker_allows (&peer->breaker, now);
}

/* Return a pick without a member, for REASON.  WAIT_USEC is the time after
   which there may be a member, 0 if that is not known.  */
static struct mesh_pick
no_member (enum reason reason, gint64 wait_usec)
{
  struct mesh_pick pick = { .reason = reason, .wait_usec = wait_usec };

  return pick;
}

/* Return the owner of the key of REQUEST, or why the request cannot be sent to
   an owner now.  */
static struct mesh_pick
pick_owner (struct mesh *mesh, const struct mesh_request *request, gint64 now)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, request->request.service);
  const struct fleet_member *member;
  const struct shard *shard;
  struct mesh_pick pick = { 0 };

  if (map == NULL)
    return no_member (REASON_NO_OWNER, 0);
  shard = shard_map_find (map, request->request.slice);
  switch (shard->state)
    {
    case SHARD_FREE:
      return no_member (REASON_NO_OWNER, HANDOVER_USEC);
    case SHARD_LOST:
      return no_member (REASON_LEASE_EXPIRED,
                        MAX (0, shard->state_seen_at + SESSION_WAIT_USEC - now)
                            + HANDOVER_USEC);
    case SHARD_HELD:
      break;
    }
  pick.member = fleet_state_find (&mesh->fleet, shard->owner);
  member = fleet_state_member_at (&mesh->fleet, pick.member);
  if (member == NULL)
    return no_member (REASON_NO_OWNER, 0);
  if (!mesh_evacuation_serves_keys (mesh, member, now))
    return no_member (REASON_NO_OWNER, HANDOVER_USEC);
  if (!is_reachable (mesh, member, pick.member, now))
    return no_member (REASON_PEER_LOST, mesh_is_lost (mesh, pick.member, now)
                                            ? SESSION_WAIT_USEC + HANDOVER_USEC
                                            : 0);
  pick.is_local = is_here (mesh, member);
  return pick;
}

/* Return whether MEMBER accepts requests of SERVICE at NOW.  */
static gboolean
accepts (struct mesh *mesh, const struct fleet_member *member,
         const char *service, struct handle h, gint64 now)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);

  if (strcmp (member->service, service) != 0 || member->state != MEMBER_READY
      || mesh_is_evacuated (mesh, member))
    return FALSE;
  if (is_here (mesh, member))
    return !grant_is_leaving (&mesh->grant) && grant_may_run (&mesh->grant)
           && mesh->stop_requested_at == 0;
  return peer != NULL && !peer->is_leaving && peer_state_slots (peer, now) > 0;
}

/* Return the state of the local server in the form that is kept for peers.  */
static struct peer_state
local_state (struct mesh *mesh, gint64 now)
{
  struct peer_state local
      = { .load = mesh_load_report (mesh, now), .load_reported_at = now };

  return local;
}

/* Return the server for REQUEST, chosen among the members that may run it at
   NOW.  */
static struct mesh_pick
pick_server (struct mesh *mesh, const struct mesh_request *request, gint64 now)
{
  struct mesh_pick pick = no_member (REASON_NO_SERVER, 0);
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);
  struct peer_state local = { 0 };
  struct handle local_member = HANDLE_NONE;
  struct even_load_choice choice;
  struct even_load load;

  even_load_init (&load, ++mesh->random_count, now);
  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      struct placement_candidate server
          = { .member = h, .peer = table_get (&mesh->peers, h) };
      if (!accepts (mesh, member, request->request.service, h, now))
        continue;
      if (is_here (mesh, member))
        {
          local = local_state (mesh, now);
          local_member = h;
          server.peer = &local;
        }
      server.is_near = strcmp (member->zone, mesh->settings.zone) == 0;
      even_load_offer (&load, &server,
                       is_reachable (mesh, member, h, now)
                           && !was_tried (request, h)
                           && !is_told_evacuated (mesh, request, member));
    }
  choice = even_load_choose (&load, request->body_bytes);
  if (!handle_is_set (choice.member))
    return pick;
  pick.member = choice.member;
  pick.is_local = handle_equal (choice.member, local_member);
  pick.reason = REASON_NONE;
  pick.compared = choice.compared;
  pick.cost_usec = choice.cost_usec;
  pick.busy_permille = choice.busy_permille;
  return pick;
}

/* Return where REQUEST is to be sent at NOW: to the owner of its key, or for
   an unsharded service to a member that is chosen by its load.  */
struct mesh_pick
mesh_pick (struct mesh *mesh, const struct mesh_request *request, gint64 now)
{
  const struct route_service *service
      = mesh->routing != NULL
            ? routing_find_service (mesh->routing, request->request.service)
            : NULL;

  if (service != NULL && service->sharded)
    {
      if (request->request.key[0] == '\0')
        return no_member (REASON_NO_KEY, 0);
      return mesh_evacuation_check_pick (mesh, service->name,
                                         pick_owner (mesh, request, now));
    }
  return mesh_evacuation_check_pick (mesh, request->request.service,
                                     pick_server (mesh, request, now));
}

#include "mesh/mesh_comparison.h"
#include "mesh/mesh_parts.h"

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

/* Return why requests cannot be sent to MEMBER now, or MESH_OBSTACLE_NONE.  */
enum mesh_obstacle
mesh_pick_link_obstacle (struct mesh *mesh, const struct fleet_member *member,
                         struct handle h, gint64 now)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);

  if (is_here (mesh, member))
    return MESH_OBSTACLE_NONE;
  if (peer == NULL)
    return MESH_OBSTACLE_UNKNOWN;
  if (!peer_state_is_responsive (peer, now))
    return MESH_OBSTACLE_UNRESPONSIVE;
  return breaker_allows (&peer->breaker, now) ? MESH_OBSTACLE_NONE
                                              : MESH_OBSTACLE_BREAKER;
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
  if (mesh_pick_link_obstacle (mesh, member, pick.member, now)
      != MESH_OBSTACLE_NONE)
    return no_member (REASON_PEER_LOST, mesh_is_lost (mesh, pick.member, now)
                                            ? SESSION_WAIT_USEC + HANDOVER_USEC
                                            : 0);
  pick.is_local = is_here (mesh, member);
  return pick;
}

/* Return why MEMBER accepts no requests at NOW, or MESH_OBSTACLE_NONE.  */
static enum mesh_obstacle
server_obstacle (struct mesh *mesh, const struct fleet_member *member,
                 struct handle h, gint64 now)
{
  const struct peer_state *peer = table_get (&mesh->peers, h);

  if (member->state != MEMBER_READY)
    return MESH_OBSTACLE_NOT_READY;
  if (mesh_is_evacuated (mesh, member))
    return MESH_OBSTACLE_EVACUATED;
  if (is_here (mesh, member))
    {
      if (grant_is_leaving (&mesh->grant) || mesh->stop_requested_at != 0)
        return MESH_OBSTACLE_LEAVING;
      return grant_may_run (&mesh->grant) ? MESH_OBSTACLE_NONE
                                          : MESH_OBSTACLE_NO_SLOTS;
    }
  if (peer == NULL)
    return MESH_OBSTACLE_UNKNOWN;
  if (peer->is_leaving)
    return MESH_OBSTACLE_LEAVING;
  return peer_state_slots (peer, now) > 0 ? MESH_OBSTACLE_NONE
                                          : MESH_OBSTACLE_NO_SLOTS;
}

/* Return what keeps requests from MEMBER at NOW, or MESH_OBSTACLE_NONE.  */
enum mesh_obstacle
mesh_pick_obstacle (struct mesh *mesh, const struct fleet_member *member,
                    struct handle h, gint64 now)
{
  enum mesh_obstacle obstacle = server_obstacle (mesh, member, h, now);

  return obstacle != MESH_OBSTACLE_NONE
             ? obstacle
             : mesh_pick_link_obstacle (mesh, member, h, now);
}

/* Return the state of the local server in the form that is kept for peers.  */
static struct peer_state
local_state (struct mesh *mesh, gint64 now)
{
  struct peer_state local
      = { .load = mesh_load_report (mesh, now), .load_reported_at = now };

  return local;
}

/* Put into COMPARISON the servers among which one is chosen for REQUEST at
   NOW. Those that are compared are drawn by SEED.  */
void
mesh_pick_compare (struct mesh *mesh, const struct mesh_request *request,
                   guint64 seed, gint64 now,
                   struct mesh_comparison *comparison)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);

  comparison->local_member = HANDLE_NONE;
  even_load_init (&comparison->load, seed, now);
  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      struct placement_candidate server
          = { .member = h, .peer = table_get (&mesh->peers, h) };
      if (strcmp (member->service, request->request.service) != 0
          || server_obstacle (mesh, member, h, now) != MESH_OBSTACLE_NONE)
        continue;
      if (is_here (mesh, member))
        {
          comparison->local = local_state (mesh, now);
          comparison->local_member = h;
          server.peer = &comparison->local;
        }
      server.is_near = strcmp (member->zone, mesh->settings.zone) == 0;
      even_load_offer (&comparison->load, &server,
                       mesh_pick_link_obstacle (mesh, member, h, now)
                               == MESH_OBSTACLE_NONE
                           && !was_tried (request, h)
                           && !is_told_evacuated (mesh, request, member));
    }
}

/* Return the server for REQUEST, chosen among the members that may run it at
   NOW.  */
static struct mesh_pick
pick_server (struct mesh *mesh, const struct mesh_request *request, gint64 now)
{
  struct mesh_pick pick = no_member (REASON_NO_SERVER, 0);
  struct mesh_comparison comparison;
  struct even_load_choice choice;

  mesh_pick_compare (mesh, request, ++mesh->random_count, now, &comparison);
  choice = even_load_choose (&comparison.load, request->body_bytes);
  if (!handle_is_set (choice.member))
    return pick;
  pick.member = choice.member;
  pick.is_local = handle_equal (choice.member, comparison.local_member);
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

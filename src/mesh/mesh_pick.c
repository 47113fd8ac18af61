#include "mesh/mesh_parts.h"

/* A shard that changes hands is held again after about so long: the beats of
   its two servers and the appends between.  */
#define HANDOVER_USEC ((gint64)700000)

/* Tell whether TRANSIT was refused or failed at MEMBER before.  */
static gboolean
was_tried (const struct mesh_request *mesh_request, struct handle member)
{
  guint i;

  for (i = 0; i < MIN (mesh_request->tried_count, MESH_REQUEST_TRIED_MAX); i++)
    if (handle_equal (mesh_request->tried_members[i], member))
      return TRUE;
  return FALSE;
}

/* Tell whether MEMBER is this node.  */
static gboolean
is_here (const struct mesh *mesh, const struct fleet_member *member)
{
  return strcmp (member->name, mesh->settings.name) == 0;
}

/* Tell whether requests may be sent to MEMBER now.  */
static gboolean
is_reachable (struct mesh *mesh, const struct fleet_member *member,
              struct handle h, gint64 now)
{
  const struct peer_state *peer_state = table_get (&mesh->peers, h);

  if (is_here (mesh, member))
    return TRUE;
  return peer_state != NULL && peer_state_is_responsive (peer_state, now)
         && breaker_allows (&peer_state->breaker, now);
}

/* No node, for REASON; one may be there after WAIT_USEC.  */
static struct mesh_pick
none (enum reason reason, gint64 wait_usec)
{
  struct mesh_pick pick = { HANDLE_NONE, FALSE, reason, wait_usec };

  return pick;
}

/* The owner of the key of TRANSIT.  */
static struct mesh_pick
pick_owner (struct mesh *mesh, const struct mesh_request *mesh_request,
            gint64 now)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh_request->request.service);
  const struct fleet_member *member;
  const struct shard *shard;
  struct mesh_pick pick = { 0 };

  if (map == NULL)
    return none (REASON_NO_OWNER, 0);
  shard = shard_map_find (map, mesh_request->request.slice);
  switch (shard->state)
    {
    case SHARD_FREE:
      return none (REASON_NO_OWNER, HANDOVER_USEC);
    case SHARD_LOST:
      return none (REASON_LEASE_EXPIRED,
                   MAX (0, shard->state_seen_at + SESSION_WAIT_USEC - now)
                       + HANDOVER_USEC);
    case SHARD_HELD:
      break;
    }
  pick.member = fleet_state_find (&mesh->fleet, shard->owner);
  member = fleet_state_member_at (&mesh->fleet, pick.member);
  if (member == NULL)
    return none (REASON_NO_OWNER, 0);
  if (!is_reachable (mesh, member, pick.member, now))
    return none (REASON_PEER_LOST, mesh_is_lost (mesh, pick.member, now)
                                       ? SESSION_WAIT_USEC + HANDOVER_USEC
                                       : 0);
  pick.is_local = is_here (mesh, member);
  return pick;
}

/* The mean of the run times that servers of SERVICE have told, 0 if none
   has.  */
static gint64
mean_run (struct mesh *mesh, const char *service)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);
  gint64 total = 0;
  gint64 count = 0;

  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct peer_state *peer_state = table_get (&mesh->peers, h);
      if (peer_state == NULL || peer_state->load.mean_run_usec == 0
          || strcmp (fleet_state_member_at (&mesh->fleet, h)->service, service)
                 != 0)
        continue;
      total += peer_state->load.mean_run_usec;
      count++;
    }
  return count > 0 ? total / count : 0;
}

/* What TRANSIT costs at MEMBER, if requests run for RUN at a server that has
   told nothing.  */
static gint64
cost_at (struct mesh *mesh, const struct mesh_request *mesh_request,
         const struct fleet_member *member, struct handle h, gint64 run,
         gint64 now)
{
  struct peer_query ask
      = { .same_zone = strcmp (member->zone, mesh->settings.zone) == 0,
          .body_bytes = mesh_request->body_bytes,
          .default_run_usec = run };
  struct peer_state here = { 0 };

  if (!is_here (mesh, member))
    return peer_state_cost (table_get (&mesh->peers, h), &ask, now);
  here.load = mesh_load_report (mesh, now);
  here.load_reported_at = now;
  return peer_state_cost (&here, &ask, now);
}

/* Tell whether MEMBER takes requests of SERVICE.  */
static gboolean
takes (struct mesh *mesh, const struct fleet_member *member,
       const char *service, struct handle h)
{
  const struct peer_state *peer_state = table_get (&mesh->peers, h);

  if (member->state != MEMBER_READY || strcmp (member->service, service) != 0)
    return FALSE;
  if (is_here (mesh, member))
    return !grant_is_leaving (&mesh->grant) && !mesh->grant.presumed_dead
           && mesh->stop_requested_at == 0;
  return peer_state != NULL && !peer_state->is_leaving
         && peer_state->load.slots > 0;
}

/* The member where TRANSIT costs least.  */
static struct mesh_pick
pick_cheapest (struct mesh *mesh, const struct mesh_request *mesh_request,
               gint64 now)
{
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);
  struct mesh_pick best = none (REASON_NO_SERVER, 0);
  gint64 run = mean_run (mesh, mesh_request->request.service);
  gint64 least = G_MAXINT64;

  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      gint64 cost;
      if (!takes (mesh, member, mesh_request->request.service, h)
          || !is_reachable (mesh, member, h, now)
          || was_tried (mesh_request, h))
        continue;
      cost = cost_at (mesh, mesh_request, member, h, run, now);
      if (cost >= least)
        continue;
      least = cost;
      best.member = h;
      best.is_local = is_here (mesh, member);
      best.reason = REASON_NONE;
    }
  return best;
}

/* Where TRANSIT goes at NOW.  */
struct mesh_pick
mesh_pick (struct mesh *mesh, const struct mesh_request *mesh_request,
           gint64 now)
{
  const struct route_service *service
      = mesh->routing != NULL ? routing_find_service (
            mesh->routing, mesh_request->request.service)
                              : NULL;

  if (service != NULL && service->sharded)
    {
      if (mesh_request->request.key[0] == '\0')
        return none (REASON_NO_KEY, 0);
      return pick_owner (mesh, mesh_request, now);
    }
  return pick_cheapest (mesh, mesh_request, now);
}

#include "mesh/mesh_parts.h"

/* Return the weight of MEMBER, whose node is PEER, in the division of keys:
   its slots, or what of them its rate keeps busy while its server is cold.
   PEER is NULL for this node.  */
static guint32
weight_of (struct mesh *mesh, const struct fleet_member *member,
           const struct peer_state *peer, gint64 now)
{
  struct load_report load
      = peer != NULL ? peer->load : mesh_load_report (mesh, now);
  gint64 reported_at = peer != NULL ? peer->load_reported_at : now;
  gboolean is_cold
      = now < reported_at + (gint64)load.warmup_msec * USEC_PER_MSEC;

  return MAX (1, is_cold ? MIN (member->slots, load.slots) : member->slots);
}

/* Return the members whose servers may be given keys of SERVICE, as an array
   of struct candidate that the caller frees.  A member is left out if its
   server is not ready or is leaving, if the member is unresponsive, or if its
   data centre is evacuated.  */
GArray *
mesh_candidates (struct mesh *mesh, const char *service, gint64 now)
{
  GArray *candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  struct handle h = table_next (&mesh->fleet.members, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&mesh->fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&mesh->fleet, h);
      const struct peer_state *peer = table_get (&mesh->peers, h);
      gboolean self = strcmp (member->name, mesh->settings.name) == 0;
      struct candidate candidate = { 0 };
      if (strcmp (member->service, service) != 0
          || member->state != MEMBER_READY
          || !server_instance_is_set (&member->instance)
          || mesh_is_evacuated (mesh, member))
        continue;
      if (self ? grant_is_leaving (&mesh->grant) || mesh->grant.presumed_dead
               : peer == NULL || !peer_state_is_responsive (peer, now))
        continue;
      g_strlcpy (candidate.node_name, member->name,
                 sizeof candidate.node_name);
      candidate.instance = member->instance;
      candidate.weight = weight_of (mesh, member, self ? NULL : peer, now);
      g_array_append_val (candidates, candidate);
    }
  return candidates;
}

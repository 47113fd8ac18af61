#include "mesh/mesh_parts.h"

/* Return the members whose servers may be given keys of SERVICE, as an array
   of struct candidate that the caller frees.  A member is left out if its
   server is not ready or is leaving, or if the member is unresponsive.  */
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
      struct candidate candidate = { .weight = MAX (1, member->slots) };
      if (strcmp (member->service, service) != 0
          || member->state != MEMBER_READY
          || !server_instance_is_set (&member->instance))
        continue;
      if (self ? grant_is_leaving (&mesh->grant) || mesh->grant.presumed_dead
               : peer == NULL || !peer_state_is_responsive (peer, now))
        continue;
      g_strlcpy (candidate.node_name, member->name,
                 sizeof candidate.node_name);
      candidate.instance = member->instance;
      g_array_append_val (candidates, candidate);
    }
  return candidates;
}

#include "mesh/mesh_parts.h"

#include <string.h>

/* When the server of an evacuated data centre releases its keys.  Their next
   owners are chosen in shard/shard_reconcile.  */

/* Owners whose servers are granted keys by calls release them one after the
   other, RELEASE_TURN_USEC apart, for at most RELEASE_TURNS_MAX turns: only
   one map can follow each map, and keys that are released wait for theirs
   without a holder.  Owners that answer heartbeats release at the next
   one, and the heartbeats of servers are spread in time anyway.  */
#define RELEASE_TURN_USEC ((gint64)150000)
#define RELEASE_TURNS_MAX 15u

/* Keys are released this long before their requests are refused at the
   latest.  */
#define RELEASE_MARGIN_USEC ((gint64)1500000)

/* Return how many evacuated owners of the local service come before this node
   by the order of their keys.  */
static guint
release_turn (const struct mesh *mesh)
{
  const struct shard_map *map
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  const char *before = "";
  guint turn = 0;
  guint i;

  for (i = 0; map != NULL && i < map->shards->len; i++)
    {
      const struct shard *shard
          = &g_array_index (map->shards, struct shard, i);
      const struct fleet_member *owner;
      if (strcmp (shard->owner, mesh->settings.name) == 0)
        break;
      owner = fleet_state_member_named (&mesh->fleet, shard->owner);
      if (owner != NULL && mesh_is_evacuated (mesh, owner)
          && strcmp (shard->owner, before) != 0)
        turn++;
      before = shard->owner;
    }
  return MIN (turn, RELEASE_TURNS_MAX);
}

/* Return when the local server, whose data centre is evacuated from NOW on, is
   to release its keys.  */
gint64
mesh_evacuation_release_time (const struct mesh *mesh, gint64 now)
{
  gint64 latest
      = evacuations_serve_until (&mesh->evacuations, mesh->settings.zone)
        - RELEASE_MARGIN_USEC;

  if (mesh->grant.method == GRANT_BY_ANSWER)
    return now;
  return MIN (now + RELEASE_TURN_USEC * release_turn (mesh), latest);
}

/* Return whether the local server is to release all its keys at NOW because
   its data centre is evacuated.  */
gboolean
mesh_evacuation_releases_keys (const struct mesh *mesh, gint64 now)
{
  return mesh_evacuation_is_local (mesh) && now >= mesh->release_keys_at;
}

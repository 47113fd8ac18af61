#include "mesh/mesh_parts.h"

/* A handoff whose range was not released after this time is withdrawn.  Two
   heartbeat intervals and the longest grant have passed by then.  */
#define HANDOFF_TIMEOUT_USEC ((gint64)4000000)

/* Plan the handoff of the keys FIRST_KEY to LAST_KEY to the node
   NEW_OWNER.  */
void
mesh_handoff_add (struct mesh *mesh, guint32 first_key, guint32 last_key,
                  const char *new_owner, gint64 now)
{
  struct mesh_handoff handoff = { .first_key = first_key,
                                  .last_key = last_key,
                                  .expires_at = now + HANDOFF_TIMEOUT_USEC };

  g_strlcpy (handoff.new_owner, new_owner, sizeof handoff.new_owner);
  g_array_append_val (mesh->handoffs, handoff);
}

/* Return whether a handoff of KEY to another node is planned.  */
gboolean
mesh_is_handed_off (const struct mesh *mesh, guint32 key)
{
  guint i;

  for (i = 0; i < mesh->handoffs->len; i++)
    {
      const struct mesh_handoff *handoff
          = &g_array_index (mesh->handoffs, struct mesh_handoff, i);
      if (handoff->first_key <= key && key <= handoff->last_key)
        return TRUE;
    }
  return FALSE;
}

/* Set the next owner in MAP of this node's shards in the range of HANDOFF,
   where none is set.  Return whether the new owner of HANDOFF is the next
   owner of any of them.  */
static gboolean
set_next_owner (const struct mesh *mesh, struct shard_map *map,
                const struct mesh_handoff *handoff)
{
  gboolean any = FALSE;
  guint i;

  shard_map_split (map, handoff->first_key);
  if (handoff->last_key + 1 < SHARD_KEY_COUNT)
    shard_map_split (map, handoff->last_key + 1);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->first < handoff->first_key || shard->last > handoff->last_key
          || shard->state != SHARD_HELD
          || strcmp (shard->owner, mesh->settings.name) != 0)
        continue;
      if (shard->next_owner[0] == '\0')
        shard->next_owner = g_intern_string (handoff->new_owner);
      any = any || strcmp (shard->next_owner, handoff->new_owner) == 0;
    }
  return any;
}

/* Set the next owners in MAP, a copy, for the handoffs to those of CANDIDATES
   that may still receive keys, and drop the other handoffs.  */
void
mesh_handoffs_apply (struct mesh *mesh, struct shard_map *map,
                     const GArray *candidates, gint64 now)
{
  guint i = 0;

  while (i < mesh->handoffs->len)
    {
      const struct mesh_handoff *handoff
          = &g_array_index (mesh->handoffs, struct mesh_handoff, i);
      if (now < handoff->expires_at
          && shard_find_candidate (candidates, handoff->new_owner) != NULL
          && set_next_owner (mesh, map, handoff))
        i++;
      else
        g_array_remove_index (mesh->handoffs, i);
    }
}

/* Return a copy of MAP as the local server may be granted it: without the
   shards that an unconfirmed map gives away or whose fences may have been
   passed, and with the next owners of the
   planned handoffs to CANDIDATES.  The caller clears the copy.  */
struct shard_map
mesh_grantable_map (struct mesh *mesh, const struct shard_map *map,
                    const GArray *candidates, gint64 now)
{
  struct shard_map copy = mesh_unconfirmed_exclude (mesh, map);

  mesh_era_exclude (mesh, &copy, now);
  mesh_handoffs_apply (mesh, &copy, candidates, now);
  return copy;
}

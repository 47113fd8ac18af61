#include "mesh/mesh_parts.h"

/* Free the memory of DATA, a struct mesh_unconfirmed; for GArray.  */
void
mesh_unconfirmed_clear (gpointer data)
{
  shard_map_clear (&((struct mesh_unconfirmed *)data)->map);
}

/* Record that MAP was proposed for OFFSET and that the outcome is not known
   yet.  */
void
mesh_unconfirmed_add (struct mesh *mesh, const struct shard_map *map,
                      guint64 offset)
{
  struct mesh_unconfirmed unconfirmed = { .offset = offset };

  shard_map_copy (&unconfirmed.map, map);
  g_array_append_val (mesh->unconfirmed, unconfirmed);
}

/* Drop the unconfirmed maps whose offsets have been read.  */
void
mesh_unconfirmed_resolve (struct mesh *mesh)
{
  guint i = 0;

  while (i < mesh->unconfirmed->len)
    if (g_array_index (mesh->unconfirmed, struct mesh_unconfirmed, i).offset
        < mesh->fleet.applied_offset)
      g_array_remove_index (mesh->unconfirmed, i);
    else
      i++;
}

/* Return whether SHARD is owned by this node and held by the current instance
   of its server.  */
static gboolean
is_own (const struct mesh *mesh, const struct shard *shard)
{
  return shard->state == SHARD_HELD
         && strcmp (shard->owner, mesh->settings.name) == 0
         && server_instance_equal (&shard->instance, &mesh->grant.instance);
}

/* Mark as free the shards of MAP, a copy, that this node owns but that
   UNCONFIRMED takes away from it.  */
static void
exclude (const struct mesh *mesh, struct shard_map *map,
         const struct mesh_unconfirmed *unconfirmed)
{
  guint i;

  for (i = 0; i < unconfirmed->map.shards->len; i++)
    shard_map_split (map, shard_map_at (&unconfirmed->map, i)->first);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct shard *proposed
          = shard_map_find (&unconfirmed->map, shard->first);
      if (is_own (mesh, shard) && !is_own (mesh, proposed))
        shard->state = SHARD_FREE;
    }
}

/* Return a copy of MAP in which the shards that an unconfirmed map gives away
   are free.  The caller clears the copy.  */
struct shard_map
mesh_unconfirmed_exclude (const struct mesh *mesh, const struct shard_map *map)
{
  struct shard_map copy;
  guint i;

  shard_map_copy (&copy, map);
  for (i = 0; i < mesh->unconfirmed->len; i++)
    exclude (mesh, &copy,
             &g_array_index (mesh->unconfirmed, struct mesh_unconfirmed, i));
  return copy;
}

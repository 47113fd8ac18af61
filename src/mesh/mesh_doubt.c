#include "mesh/mesh_parts.h"

/* Release what a doubt holds; for GArray.  */
void
mesh_doubt_clear (gpointer data)
{
  shard_map_clear (&((struct mesh_doubt *)data)->map);
}

/* MAP is proposed to stand at AT.  */
void
mesh_doubt_add (struct mesh *mesh, const struct shard_map *map, guint64 at)
{
  struct mesh_doubt doubt = { .at = at };

  shard_map_copy (&doubt.map, map);
  g_array_append_val (mesh->doubts, doubt);
}

/* Drop the doubts whose offsets are known by now.  */
void
mesh_doubt_settle (struct mesh *mesh)
{
  guint i = 0;

  while (i < mesh->doubts->len)
    if (g_array_index (mesh->doubts, struct mesh_doubt, i).at
        < mesh->roster.next)
      g_array_remove_index (mesh->doubts, i);
    else
      i++;
}

/* Tell whether SHARD is this node's and its server's.  */
static gboolean
is_own (const struct mesh *mesh, const struct shard *shard)
{
  return shard->state == SHARD_HELD
         && strcmp (shard->owner, mesh->settings.name) == 0
         && life_equal (&shard->life, &mesh->grant.life);
}

/* Have MAP, a copy, leave out what DOUBT gives away.  */
static void
leave_out (const struct mesh *mesh, struct shard_map *map,
           const struct mesh_doubt *doubt)
{
  guint i;

  for (i = 0; i < doubt->map.shards->len; i++)
    shard_map_split (map, shard_map_at (&doubt->map, i)->first);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct shard *proposed
          = shard_map_find (&doubt->map, shard->first);
      if (is_own (mesh, shard) && !is_own (mesh, proposed))
        shard->state = SHARD_FREE;
    }
}

/* A copy of MAP without what this node may have given away; the caller clears
   it.  */
struct shard_map
mesh_doubt_apply (const struct mesh *mesh, const struct shard_map *map)
{
  struct shard_map copy;
  guint i;

  shard_map_copy (&copy, map);
  for (i = 0; i < mesh->doubts->len; i++)
    leave_out (mesh, &copy,
               &g_array_index (mesh->doubts, struct mesh_doubt, i));
  return copy;
}

#include "fleet/map_patch.h"

#include <string.h>

/* Set PATCH to the shards of MAP that have changed at OFFSET or later; the
   caller clears it.  Return FALSE, without a patch, if all have.  */
gboolean
map_patch_make (const struct shard_map *map, guint64 offset,
                struct shard_map *patch)
{
  guint i;

  *patch = *map;
  patch->shards = g_array_new (FALSE, TRUE, sizeof (struct shard));
  for (i = 0; i < map->shards->len; i++)
    if (shard_map_at (map, i)->changed_at >= offset)
      g_array_append_vals (patch->shards, shard_map_at (map, i), 1);
  if (patch->shards->len < map->shards->len)
    return TRUE;
  shard_map_clear (patch);
  return FALSE;
}

/* Append to MAP the keys FIRST to LAST as KNOWN has them.  */
static void
copy_keys (struct shard_map *map, const struct shard_map *known, guint32 first,
           guint32 last)
{
  guint i;

  for (i = 0; i < known->shards->len; i++)
    {
      struct shard shard = *shard_map_at (known, i);
      if (shard.last < first || shard.first > last)
        continue;
      shard.first = MAX (shard.first, first);
      shard.last = MIN (shard.last, last);
      g_array_append_val (map->shards, shard);
    }
}

/* Set MAP to KNOWN with the shards of PATCH in place of the same keys; the
   caller clears it.  Return FALSE, without a map, if the result would not be a
   map of all keys.  */
gboolean
map_patch_apply (const struct shard_map *known, const struct shard_map *patch,
                 struct shard_map *map)
{
  guint32 first = 0;
  guint i;

  *map = *patch;
  map->shards = g_array_new (FALSE, TRUE, sizeof (struct shard));
  for (i = 0; i < patch->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (patch, i);
      if (shard->first > first)
        copy_keys (map, known, first, shard->first - 1);
      g_array_append_vals (map->shards, shard, 1);
      first = shard->last + 1;
    }
  if (first < SHARD_KEY_COUNT)
    copy_keys (map, known, first, SHARD_KEY_COUNT - 1);
  if (shard_map_is_complete (map))
    return TRUE;
  shard_map_clear (map);
  return FALSE;
}

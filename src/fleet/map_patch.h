#ifndef BAMBOOTALLY_MAP_PATCH_H
#define BAMBOOTALLY_MAP_PATCH_H

#include "types/shard_map.h"

/* The part of a shard map that has changed since an offset of the topic.  A
   node that has applied all records below that offset gets the map by applying
   the patch to its own.  A map of many owners is long, and a change concerns
   few of its shards.  */

gboolean map_patch_make (const struct shard_map *map, guint64 offset,
                         struct shard_map *patch);
gboolean map_patch_apply (const struct shard_map *known,
                          const struct shard_map *patch,
                          struct shard_map *map);

#endif

#ifndef BAMBOOTALLY_SHARD_MAP_H
#define BAMBOOTALLY_SHARD_MAP_H

#include "types/shard.h"

/* The shards of one service in the order of their keys, without gaps.  */

#define SHARDS_MAX 512u /* shards of one service */

struct shard_map
{
  char service[NAME_SIZE]; /* name of the service */
  guint64 next_fence;      /* higher than all fences issued so far */
  GArray *shards;          /* struct shard */
  guint64 store_offset;    /* offset of the map's record in the store */
  gboolean is_ahead; /* it has states of keys that the store's record lacks,
                        since the store came back from an older copy */
};

void shard_map_init (struct shard_map *map, const char *service);
void shard_map_clear (struct shard_map *map);
void shard_map_copy (struct shard_map *to, const struct shard_map *from);
struct shard *shard_map_at (const struct shard_map *map, guint index);
struct shard *shard_map_find (const struct shard_map *map, guint32 key);
void shard_map_split (struct shard_map *map, guint32 first);
void shard_map_merge (struct shard_map *map);
gboolean shard_map_is_ordered (const struct shard_map *map);
gboolean shard_map_is_complete (const struct shard_map *map);
guint32 shard_key_count (const struct shard *shard);
gboolean shard_equal (const struct shard *a, const struct shard *b);

#endif

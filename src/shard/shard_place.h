#ifndef BAMBOOTALLY_SHARD_PLACE_H
#define BAMBOOTALLY_SHARD_PLACE_H

#include "shard/candidate.h"
#include "types/shard_map.h"

/* Which holder gets which keys.  HOLDERS are struct candidate throughout.  */

guint32 shard_owned_keys (const struct shard_map *map, const char *name);
const struct candidate *shard_pick_candidate (const struct shard_map *map,
                                              const GArray *holders);
const struct candidate *shard_find_candidate (const GArray *holders,
                                              const char *name);
void shard_assign (struct shard_map *map, struct shard *shard,
                   const struct candidate *holder, const char *token);
gboolean shard_is_receiving (const struct shard_map *map, const char *name);
gboolean shard_place_unowned (struct shard_map *map, const GArray *holders,
                              gint64 lost_before);
gboolean shard_place_balance (struct shard_map *map, const GArray *holders);

#endif

#ifndef BAMBOOTALLY_SHARD_PLACE_H
#define BAMBOOTALLY_SHARD_PLACE_H

#include "shard/candidate.h"
#include "types/shard_map.h"

/* The assignment of keys to candidates.  CANDIDATES is always an array of
   struct candidate.  */

guint32 shard_owned_keys (const struct shard_map *map, const char *name);
const struct candidate *shard_pick_candidate (const struct shard_map *map,
                                              const GArray *candidates);
const struct candidate *shard_find_candidate (const GArray *candidates,
                                              const char *name);
void shard_assign (struct shard_map *map, struct shard *shard,
                   const struct candidate *candidate, const char *token);
gboolean shard_is_receiving (const struct shard_map *map, const char *name);
gboolean shard_place_unowned (struct shard_map *map, const GArray *candidates,
                              gint64 lost_before);
gboolean shard_place_balance (struct shard_map *map, const GArray *candidates);

#endif

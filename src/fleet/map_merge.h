#ifndef BAMBOOTALLY_MAP_MERGE_H
#define BAMBOOTALLY_MAP_MERGE_H

#include "types/shard_map.h"

/* Merges the map of a store that came back from an older copy with the map
   that a node knows from before.  The fence of a key rises with each new
   holder, and the loss id with each loss of a holder, so of two states of a
   key the one with the higher fence, and then the higher loss id, is the later
   one. */

void map_merge (const struct shard_map *known, const struct shard_map *stored,
                struct shard_map *merged);

#endif

#ifndef BAMBOOTALLY_SHARD_PLACE_H
#define BAMBOOTALLY_SHARD_PLACE_H

#include "shard/holder.h"
#include "types/shard_map.h"

/* Which candidate gets which keys.  CANDIDATES is always an array of struct
   candidate.  */

guint32 shard_share (const struct shard_map *map, const char *name);
const struct holder *shard_neediest (const struct shard_map *map,
                                     const GArray *candidates);
const struct holder *shard_holder (const GArray *candidates, const char *name);
void shard_assign (struct shard_map *map, struct shard *shard,
                   const struct holder *candidate, const char *token);
gboolean shard_is_receiving (const struct shard_map *map, const char *name);
gboolean shard_place_open (struct shard_map *map, const GArray *candidates,
                           gint64 lost_before);
gboolean shard_place_even (struct shard_map *map, const GArray *candidates);

#endif

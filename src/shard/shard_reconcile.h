#ifndef BAMBOOTALLY_SHARD_RECONCILE_H
#define BAMBOOTALLY_SHARD_RECONCILE_H

#include "shard/grant.h"
#include "shard/shard_place.h"

/* What a node changes in the map about the shards that it owns itself, and
   what it has its server hold.  */

/* Who asks.  */
struct shard_owner
{
  const char *node_name;     /* this node */
  const struct grant *grant; /* its server */
  const GArray *candidates;  /* struct candidate: who may take keys */
  gint64 now;                /* microseconds */
};

gboolean shard_reconcile (struct shard_map *map,
                          const struct shard_owner *shard_owner);
void shard_ranges_to_hold (const struct shard_map *map,
                           const struct shard_owner *shard_owner,
                           struct heartbeat_answer *answer);

#endif

#ifndef BAMBOOTALLY_SHARD_RECONCILE_H
#define BAMBOOTALLY_SHARD_RECONCILE_H

#include "shard/grant.h"
#include "shard/shard_place.h"

/* The changes that a node makes to the shards that it owns, and the ranges
   that its backend server is to hold.  */

/* The node that reconciles its shards, with the input of the decision.  */
struct shard_owner
{
  const char *node_name;     /* name of this node */
  const struct grant *grant; /* grant of the node's backend server */
  const GArray *candidates;  /* struct candidate: nodes that may take keys */
  gint64 now;                /* current time in microseconds */
  gboolean is_evacuated;     /* the data centre of this node is evacuated */
  guint64 min_fence; /* shards under a lower fence are assigned to this node
                        again */
};

gboolean shard_reconcile (struct shard_map *map,
                          const struct shard_owner *owner);
void shard_ranges_to_hold (const struct shard_map *map,
                           const struct shard_owner *owner,
                           struct heartbeat_answer *answer);
void shard_lease_pieces (const struct shard_map *map,
                         const struct shard_owner *owner, GArray *pieces);

#endif

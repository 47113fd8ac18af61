#ifndef BAMBOOTALLY_SHARD_DUTY_H
#define BAMBOOTALLY_SHARD_DUTY_H

#include "shard/grant.h"
#include "shard/shard_place.h"

/* The changes of a node to the shards that it owns itself, and the ranges that
   its backend server is to hold.  */

/* The node that reconciles its shards, with the input of the decision.  */
struct duty
{
  const char *self;          /* name of this node */
  const struct grant *grant; /* what its backend server was granted */
  const GArray *holders;     /* struct candidate: nodes that may take keys */
  gint64 now;                /* current time in microseconds */
};

gboolean shard_duty (struct shard_map *map, const struct duty *duty);
void shard_rows (const struct shard_map *map, const struct duty *duty,
                 struct beat_answer *answer);

#endif

#ifndef BAMBOOTALLY_SHARD_DUTY_H
#define BAMBOOTALLY_SHARD_DUTY_H

#include "shard/grant.h"
#include "shard/shard_place.h"

/* What a node changes in the map about the shards that it owns itself, and
   what it has its server hold.  */

/* Who asks.  */
struct duty
{
  const char *self;          /* this node */
  const struct grant *grant; /* its server */
  const GArray *holders;     /* struct holder: who may take keys */
  gint64 now;                /* microseconds */
};

gboolean shard_duty (struct shard_map *map, const struct duty *duty);
void shard_rows (const struct shard_map *map, const struct duty *duty,
                 struct heartbeat_answer *answer);

#endif

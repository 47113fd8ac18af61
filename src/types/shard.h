#ifndef BAMBOOTALLY_SHARD_H
#define BAMBOOTALLY_SHARD_H

#include "types/server_instance.h"

/* A shard: a range of keys of a sharded service, and the server instance that
   holds the range.  */

#define SHARD_KEY_COUNT 65536u /* keys of a sharded service, from 0 */

enum shard_state
{
  SHARD_FREE = 0, /* not held: the last holder released the range */
  SHARD_HELD = 1, /* the owner may hold the range */
  SHARD_LOST = 2  /* the owner is unresponsive and must not renew the grant */
};

struct shard
{
  guint32 first;                   /* lowest key of the range */
  guint32 last;                    /* highest key of the range */
  enum shard_state state;          /* whether the range is held */
  const char *owner;               /* node beside the holder, or an empty
                                      text; interned, as maps are copied */
  struct server_instance instance; /* server instance that holds the range */
  guint64 fence; /* fencing token, higher for each new holder of a key */
  /* previous holder's token for the handover, or empty */
  char handover_token[HANDOVER_TOKEN_SIZE];
  const char *next_owner; /* node that receives the range next, or an empty
                             text; interned */
  guint64 loss_id; /* set from next_fence each time that the shard is lost, so
                      that two losses can be told apart */
  guint64 changed_at;   /* offset of the record that brought the shard, as far
                           as this process has seen */
  gint64 state_seen_at; /* when this process first saw the current state,
                           monotonic microseconds */
};

#endif

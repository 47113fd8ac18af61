#ifndef BAMBOOTALLY_SHARD_H
#define BAMBOOTALLY_SHARD_H

#include "types/server_instance.h"

/* A range of keys of a divided service and who holds it.  */

#define SHARD_KEY_COUNT 65536u /* keys of a divided service, from 0 */

enum shard_state
{
  SHARD_FREE = 0, /* nobody holds it: its last holder gave it up */
  SHARD_HELD = 1, /* its owner may hold it */
  SHARD_LOST = 2  /* its owner is silent and must not renew it */
};

struct shard
{
  guint32 first;                   /* lowest key */
  guint32 last;                    /* highest key */
  enum shard_state state;          /* whether it is held */
  char owner[NAME_SIZE];           /* node beside the holder, or empty */
  struct server_instance instance; /* life of the holder */
  guint64 fence;                   /* rises with each holder of a key */
  char handover_token[NAME_SIZE];  /* token of the holder before, or empty */
  char next_owner[NAME_SIZE];      /* node that is to own it next, or empty */
  guint64 loss_id;                 /* rises each time that it is found lost */
  gint64 state_seen_at;            /* when this process first saw the state */
};

#endif

#ifndef BAMBOOTALLY_SHARD_H
#define BAMBOOTALLY_SHARD_H

#include "types/life.h"

/* A range of keys of a divided service and who holds it.  */

#define SHARD_KEYS 65536u /* keys of a divided service, from 0 */

enum shard_state
{
  SHARD_FREE = 0, /* nobody holds it: its last holder gave it up */
  SHARD_HELD = 1, /* its owner may hold it */
  SHARD_LOST = 2  /* its owner is silent and must not renew it */
};

struct shard
{
  guint32 first;            /* lowest key */
  guint32 last;             /* highest key */
  enum shard_state state;   /* whether it is held */
  char owner[NAME_SIZE];    /* node beside the holder, or empty */
  struct life life;         /* life of the holder */
  guint64 fence;            /* rises with each holder of a key */
  char handover[NAME_SIZE]; /* token of the holder before, or empty */
  char next[NAME_SIZE];     /* node that is to own it next, or empty */
  guint64 term;             /* rises each time that it is found lost */
  gint64 since;             /* when this process first saw the state */
};

#endif

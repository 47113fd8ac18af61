#ifndef BAMBOOTALLY_MESH_UNCONFIRMED_H
#define BAMBOOTALLY_MESH_UNCONFIRMED_H

#include "types/shard_map.h"

/* A map that this node proposed and that may stand in the store, now or later,
   until the record at its offset is known.  What it gives away is not granted
   meanwhile: another may hold it already.  */

struct mesh_unconfirmed
{
  guint64 offset;       /* where it would stand */
  struct shard_map map; /* what it says */
};

#endif

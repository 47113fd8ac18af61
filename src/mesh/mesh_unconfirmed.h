#ifndef BAMBOOTALLY_MESH_UNCONFIRMED_H
#define BAMBOOTALLY_MESH_UNCONFIRMED_H

#include "types/shard_map.h"

/* A map that this node proposed and whose append has no known outcome.  The
   record may stand in the store now or later, until the record at its offset
   has been read.  Keys that the map gives away are not granted meanwhile,
   since another node may own them already.  */

struct mesh_unconfirmed
{
  guint64 offset;       /* offset of the record, if it is appended */
  struct shard_map map; /* the proposed map */
};

#endif

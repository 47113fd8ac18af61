#ifndef BAMBOOTALLY_MESH_EXPLAINED_OWNER_H
#define BAMBOOTALLY_MESH_EXPLAINED_OWNER_H

#include "mesh/mesh_obstacle.h"
#include "types/shard.h"

/* The shard of a request's key, and its owner.  */

struct mesh_explained_owner
{
  gboolean has_shard;          /* there is a map of the service */
  struct shard shard;          /* the shard */
  gboolean is_member;          /* its owner is a member */
  char zone[NAME_SIZE];        /* data centre of the owner */
  gboolean is_local;           /* the owner is this node */
  gboolean is_evacuated;       /* its data centre is evacuated */
  gboolean serves_key;         /* it may still be sent requests for its keys */
  enum mesh_obstacle obstacle; /* why its node cannot be reached */
  gint64 heard_age_msec; /* age of the last message of its node, -1: none */
};

#endif

#ifndef BAMBOOTALLY_MESH_SETTINGS_H
#define BAMBOOTALLY_MESH_SETTINGS_H

#include "types/address.h"
#include "types/limits.h"

/* Who a node of a mesh is, and the bounds that its deployment sets.  */

struct mesh_settings
{
  char name[NAME_SIZE];          /* name of the host */
  char zone[NAME_SIZE];          /* data centre that it stands in */
  char service[NAME_SIZE];       /* service of the server beside it */
  struct address peer_address;   /* where other nodes reach it */
  struct address server_address; /* where the server listens */
  guint64 incarnation;           /* number that the process drew */
  guint64 random_seed;           /* of its random choices */
  gint64 heartbeat_usec;         /* the server beats so often */
  gint64 max_grant_usec;         /* keys are granted no longer */
  gint64 drain_limit_usec; /* a server that leaves gets no request after */
  gint64 stop_grace_usec;  /* a process that is stopped is killed after */
};

#endif

#ifndef BAMBOOTALLY_MESH_SETTINGS_H
#define BAMBOOTALLY_MESH_SETTINGS_H

#include "types/address.h"
#include "types/limits.h"

/* Who a node of a mesh is, and the bounds that its deployment sets.  */

struct mesh_settings
{
  char name[NAME_SIZE];    /* name of the host */
  char zone[NAME_SIZE];    /* data centre that it stands in */
  char service[NAME_SIZE]; /* service of the server beside it */
  struct address peer;     /* where other nodes reach it */
  struct address server;   /* where the server listens */
  guint64 incarnation;     /* number that the process drew */
  guint64 seed;            /* of its random choices */
  gint64 beat_usec;        /* the server beats so often */
  gint64 hold_max_usec;    /* keys are granted no longer */
  gint64 drain_usec;       /* a server that leaves gets no request after */
  gint64 grace_usec;       /* a process that is stopped is killed after */
};

#endif

#ifndef BAMBOOTALLY_MESH_SETTINGS_H
#define BAMBOOTALLY_MESH_SETTINGS_H

#include "types/address.h"
#include "types/grant_method.h"
#include "types/limits.h"

/* The identity of a node of a mesh, and the limits that its deployment
   sets.  */

struct mesh_settings
{
  char name[NAME_SIZE];    /* name of the host */
  char zone[NAME_SIZE];    /* data centre of the host */
  char service[NAME_SIZE]; /* service of the backend server beside this node */
  struct address peer_address;    /* address of this node for other nodes */
  struct address server_address;  /* address of the backend server */
  guint64 incarnation;            /* random number of this process */
  guint64 random_seed;            /* seed of the random choices */
  enum grant_method grant_method; /* how the server is told its keys */
  gint64 heartbeat_usec;    /* interval between the heartbeats of the backend
                               server */
  gint64 max_grant_usec;    /* longest time for which keys are granted */
  gint64 drain_limit_usec;  /* a server that leaves gets no request later than
                               this after its leaving was acknowledged */
  gint64 config_apply_usec; /* a configuration is in force everywhere this long
                               after the store acknowledged it */
  gint64 evacuate_usec;     /* the evacuation of a data centre is in force
                               everywhere this long after the store
                               acknowledged it; 0: the settings do not say */
  gint64 stop_grace_usec;   /* a process is killed this long after it was asked
                               to stop */
};

#endif

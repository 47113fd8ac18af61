#ifndef BAMBOOTALLY_MESH_OBSTACLE_H
#define BAMBOOTALLY_MESH_OBSTACLE_H

/* What keeps requests from a server.  */

enum mesh_obstacle
{
  MESH_OBSTACLE_NONE,         /* it can be sent requests */
  MESH_OBSTACLE_NOT_READY,    /* its record says that it drains or is down */
  MESH_OBSTACLE_EVACUATED,    /* its data centre is evacuated */
  MESH_OBSTACLE_LEAVING,      /* it or its node is about to stop */
  MESH_OBSTACLE_NO_SLOTS,     /* it runs no requests at present */
  MESH_OBSTACLE_UNKNOWN,      /* nothing is known of its node */
  MESH_OBSTACLE_UNRESPONSIVE, /* its node does not respond */
  MESH_OBSTACLE_BREAKER       /* the circuit breaker of its node is open */
};

const char *mesh_obstacle_name (enum mesh_obstacle obstacle);

#endif

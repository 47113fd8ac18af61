#ifndef BAMBOOTALLY_MESH_RECEIVER_H
#define BAMBOOTALLY_MESH_RECEIVER_H

#include "types/fleet_member.h"
#include "types/load_report.h"

/* A server that may receive keys.  */

struct mesh_receiver
{
  const struct fleet_member *member; /* node of the server, NULL for none */
  struct load_report reported_load;  /* last load report of the server */
  gint64 unheld_usec; /* how long keys that are released now have no holder,
                         until the server's next heartbeat */
};

#endif

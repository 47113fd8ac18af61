#ifndef BAMBOOTALLY_MESH_RECEIVER_H
#define BAMBOOTALLY_MESH_RECEIVER_H

#include "types/fleet_member.h"
#include "types/load_report.h"

/* A server that keys may go to.  */

struct mesh_receiver
{
  const struct fleet_member *member; /* its node, NULL for none */
  struct load_report reported_load;  /* as it said last */
  gint64
      unheld_usec; /* keys that are given up now are held by nobody so long */
};

#endif

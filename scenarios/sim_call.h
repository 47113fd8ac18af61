#ifndef SCENARIO_SIM_CALL_H
#define SCENARIO_SIM_CALL_H

#include "types/peer_msg.h"

/* A pending call from one simulated node to another.  */

struct sim_call
{
  guint from;               /* index of the calling node */
  guint64 from_incarnation; /* incarnation of the calling process */
  guint to;       /* index of the called node, or the number of nodes */
  guint64 peer;   /* incarnation that the call is addressed to */
  guint64 serial; /* serial of the call at its caller */
};

#endif

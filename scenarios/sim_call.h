#ifndef SCENARIO_SIM_CALL_H
#define SCENARIO_SIM_CALL_H

#include "types/peer_msg.h"

/* A pending call from one simulated node to another.  */

struct sim_call
{
  guint caller_node;          /* index of the calling node */
  guint64 caller_incarnation; /* incarnation of the calling process */
  guint callee_node; /* index of the called node, or the number of nodes */
  guint64 callee_incarnation; /* incarnation that the call is addressed to */
  guint64 serial;             /* serial of the call at its caller */
};

#endif

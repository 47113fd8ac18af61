#ifndef SCENARIO_SIM_CALL_H
#define SCENARIO_SIM_CALL_H

#include "types/peer_msg.h"

/* A call between two nodes that has not ended.  */

struct sim_call
{
  guint caller_node;          /* node that calls */
  guint64 caller_incarnation; /* which process of it */
  guint callee_node;          /* node that is called */
  guint64 callee_incarnation; /* incarnation that is meant */
  guint64 serial;             /* the caller's number */
};

#endif

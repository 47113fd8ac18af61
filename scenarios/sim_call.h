#ifndef SCENARIO_SIM_CALL_H
#define SCENARIO_SIM_CALL_H

#include "types/peer_msg.h"

/* A call between two nodes that has not ended.  */

struct sim_call
{
  guint from;               /* node that calls */
  guint64 from_incarnation; /* which process of it */
  guint to;                 /* node that is called */
  guint64 peer;             /* incarnation that is meant */
  guint64 serial;           /* the caller's number */
};

#endif

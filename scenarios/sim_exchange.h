#ifndef SCENARIO_SIM_EXCHANGE_H
#define SCENARIO_SIM_EXCHANGE_H

#include "types/request.h"

/* A request that a simulated node is handling.  */

struct sim_exchange
{
  guint node;                   /* index of the node */
  guint64 node_incarnation;     /* incarnation of the node's process */
  struct request request;       /* request as it arrived at the node */
  guint submission;             /* index of the caller's submission */
  struct handle forwarded_from; /* exchange at the previous node */
  struct handle forwarded_to;   /* exchange at the next node */
  gboolean running; /* the server runs the request; not maintained */
};

#endif

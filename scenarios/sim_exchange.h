#ifndef SCENARIO_SIM_EXCHANGE_H
#define SCENARIO_SIM_EXCHANGE_H

#include "types/request.h"

/* A request in the hands of one node of the world.  */

struct sim_exchange
{
  guint node;                   /* node that has it */
  guint64 node_incarnation;     /* which process of it */
  struct request request;       /* as it arrived */
  guint submission;             /* sending of the caller it belongs to */
  struct handle forwarded_from; /* exchange of the node that passed it on */
  struct handle forwarded_to;   /* exchange at the node it was passed on to */
  gboolean running;             /* the server beside the node runs it */
};

#endif

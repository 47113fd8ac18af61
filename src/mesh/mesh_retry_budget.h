#ifndef BAMBOOTALLY_MESH_RETRY_BUDGET_H
#define BAMBOOTALLY_MESH_RETRY_BUDGET_H

#include "decide/retry.h"
#include "types/limits.h"

/* The retry budget of one service at this node.  */

struct mesh_retry_budget
{
  char service[NAME_SIZE];    /* name of the service */
  struct retry_budget budget; /* retries that may still be sent */
};

#endif

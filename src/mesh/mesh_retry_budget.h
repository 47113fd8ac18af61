#ifndef BAMBOOTALLY_MESH_RETRY_BUDGET_H
#define BAMBOOTALLY_MESH_RETRY_BUDGET_H

#include "decide/retry.h"
#include "types/limits.h"

/* What this node may spend on sending requests for one service again.  */

struct mesh_retry_budget
{
  char service[NAME_SIZE];    /* the service */
  struct retry_budget budget; /* what is left */
};

#endif

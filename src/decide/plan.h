#ifndef BAMBOOTALLY_PLAN_H
#define BAMBOOTALLY_PLAN_H

#include "types/action.h"

struct core;

/* Plans the placement of the slices of this node's service, if this node
   ranks first among its members.  */

void plan_step (struct core *core, gint64 now, struct actions *out);

#endif

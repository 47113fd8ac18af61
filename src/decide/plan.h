#ifndef BAMBOOTALLY_PLAN_H
#define BAMBOOTALLY_PLAN_H

#include "types/action.h"

struct core;

/* Plans which member owns each slice of this node's service, if this node
   ranks among the first of its members.  */

void plan_step (struct core *core, gint64 now, struct actions *out);

#endif

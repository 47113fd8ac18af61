#ifndef BAMBOOTALLY_MEMBER_H
#define BAMBOOTALLY_MEMBER_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* Joining the fleet, and removal from it.  */

void member_step (struct core *core, gint64 now, struct actions *out);

#endif

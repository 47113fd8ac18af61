#ifndef BAMBOOTALLY_MEMBERSHIP_H
#define BAMBOOTALLY_MEMBERSHIP_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* Joining the fleet, and removal from it.  */

void membership_step (struct core *core, gint64 now, struct actions *out);

#endif

#ifndef BAMBOOTALLY_MEMBERSHIP_H
#define BAMBOOTALLY_MEMBERSHIP_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* Joining, and going out.  */

void membership_step (struct core *core, gint64 now, struct actions *out);

#endif

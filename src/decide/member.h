#ifndef BAMBOOTALLY_MEMBER_H
#define BAMBOOTALLY_MEMBER_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* Joining, and going out.  */

void member_step (struct core *core, gint64 now, struct actions *out);

#endif

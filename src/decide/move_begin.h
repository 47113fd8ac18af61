#ifndef BAMBOOTALLY_MOVE_BEGIN_H
#define BAMBOOTALLY_MOVE_BEGIN_H

#include "types/action.h"

struct core;

/* Beginning to give slices up.  */

void move_begin_step (struct core *core, struct actions *out);

#endif

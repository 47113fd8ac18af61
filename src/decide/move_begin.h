#ifndef BAMBOOTALLY_MOVE_BEGIN_H
#define BAMBOOTALLY_MOVE_BEGIN_H

#include "types/action.h"

struct core;

/* Beginning to give slices up.  */

void move_begin_handoffs (struct core *core, gint64 now, struct actions *out);

#endif

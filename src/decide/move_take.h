#ifndef BAMBOOTALLY_MOVE_TAKE_H
#define BAMBOOTALLY_MOVE_TAKE_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* The other nodes of a move: the receiver, and the successors, which must have
   applied the record before the handoff begins.  */

void move_take_follow (struct core *core, const struct view_service *service);
void move_take_step (struct core *core, gint64 now, struct actions *out);
void move_take_propose (struct core *core, guint64 owner, guint64 move,
                        gboolean declined);

#endif

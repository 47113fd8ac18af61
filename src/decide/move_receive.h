#ifndef BAMBOOTALLY_MOVE_RECEIVE_H
#define BAMBOOTALLY_MOVE_RECEIVE_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* The other side of a move: the receiver, and the successors that must have
   folded it.  */

void move_receive_follow (struct core *core,
                          const struct view_service *service);
void move_receive_step (struct core *core, gint64 now, struct actions *out);
void move_receive_propose (struct core *core, guint64 owner, guint64 move,
                           gboolean declined);

#endif

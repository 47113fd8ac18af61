#ifndef BAMBOOTALLY_MEMBER_H
#define BAMBOOTALLY_MEMBER_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* Joining, the witness set, and leaving.  */

void member_step (struct core *core, gint64 now, struct actions *out);
guint32 member_choose_witnesses (const struct view *view, struct handle node,
                                 guint64 *set);

#endif

#ifndef BAMBOOTALLY_WITNESS_SET_H
#define BAMBOOTALLY_WITNESS_SET_H

#include "decide/lease.h"

struct core;

/* Choice of the witnesses of a node.  */

void witness_set_step (struct core *core);
guint32 witness_set_choose (const struct view *view, const struct lease *lease,
                            struct handle node, guint64 *set);

#endif

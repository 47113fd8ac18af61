#ifndef BAMBOOTALLY_DRAIN_H
#define BAMBOOTALLY_DRAIN_H

#include "types/action.h"

struct core;

/* The graceful stop of this node.  It says on the log that it leaves, and
   goes on serving what it owns until that has been moved away and every
   request has ended; then it says that it is out, and exits once it has read
   that back.  Between the two it serves no slice, since others may read that
   it is out before it does.  While the log is down it waits, and serves what
   it owns.  */

struct drain
{
  gboolean asked; /* the node was asked to leave */
  gboolean done;  /* the process was told to exit */
};

void drain_begin (struct core *core);
void drain_step (struct core *core, guint32 exchanges, struct actions *out);
gboolean drain_is_closing (const struct core *core);
gboolean drain_takes_work (const struct core *core);

#endif

#ifndef BAMBOOTALLY_DRAIN_H
#define BAMBOOTALLY_DRAIN_H

#include "types/action.h"

struct core;

/* The graceful stop of this node.  It says on the log that it leaves, and
   goes on serving what it owns until that has been moved away and every
   request has ended, and for a while what was stamped by it; then it says that
   it is out, and exits once it has read that back.  Between the two it serves
   no slice, since others may read that it is out before it does.  While the
   log is down it waits, and serves what it owns.  */

#define DRAIN_LINGER_USEC                                                     \
  ((gint64)2000000) /* stamps given out are honoured                          \
                     */

struct drain
{
  gboolean is_requested; /* the node was asked to leave */
  gint64 linger_until; /* it stays until then, 0 until it leaves on the log */
  gboolean exit_requested; /* the process was told to exit */
};

void drain_begin (struct core *core);
void drain_step (struct core *core, guint32 exchanges, gint64 now,
                 struct actions *out);
gboolean drain_has_proposed_removal (const struct core *core);
gboolean drain_accepts_new (const struct core *core);
gboolean drain_accepts_stamped (const struct core *core, gint64 now);

#endif

#ifndef BAMBOOTALLY_DRAIN_H
#define BAMBOOTALLY_DRAIN_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Graceful stop of this node.  The node proposes a record that it leaves.  It
   continues to serve the slices that it owns until they have been moved away
   and every request has ended, and for DRAIN_LINGER_USEC requests with its
   stamps.  Then it proposes its removal, and exits once it has read that back
   from the log.  In between it serves no slice, since other nodes may read the
   removal before this node does.  While the log is down the node waits, and
   serves what it owns.  */

#define DRAIN_LINGER_USEC                                                     \
  ((gint64)2000000) /* stamps that were given out are accepted for so long */

struct drain
{
  gboolean is_requested; /* whether the node was asked to leave */
  gint64 linger_until;   /* the node stays until then, monotonic usec; 0 until
                            the node has read its record `leaving' */
  gboolean exit_requested; /* whether the process was told to exit */
};

void drain_begin (struct core *core);
void drain_step (struct core *core, const struct event_tick *event, gint64 now,
                 struct actions *out);
gboolean drain_has_proposed_removal (const struct core *core);
gboolean drain_accepts_new (const struct core *core);
gboolean drain_accepts_stamped (const struct core *core, gint64 now);

#endif

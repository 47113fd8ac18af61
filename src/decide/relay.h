#ifndef BAMBOOTALLY_RELAY_H
#define BAMBOOTALLY_RELAY_H

#include "types/action.h"

struct core;

/* Chooses where this node reads records from.  In each zone the nodes that
   rank first read the log; each other node reads from one that ranks before
   it, so that no node has more than a few readers.  A source that fails or is
   stale is replaced by the next one, and after that by the log itself.  Leases
   do not depend on how recent the view is.  */

#define RELAY_FANOUT 12u /* nodes that read from one node */

struct relay
{
  gboolean from_peer;       /* records are read from a peer */
  guint64 peer_incarnation; /* incarnation of that peer */
  guint64 chosen_at_offset; /* applied_offset of the view that the source was
                               chosen by; 0: choose again */
  guint32 failure_count;    /* sources that failed since the last fallback to
                               the log */
  /* the log is read until then, monotonic microseconds */
  gint64 log_only_until;
};

void relay_step (struct core *core, gint64 now, struct actions *out);
void relay_on_failed (struct core *core, gint64 now, struct actions *out);
guint32 relay_parent (guint32 rank, guint32 relays, guint32 failures);

#endif

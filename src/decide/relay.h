#ifndef BAMBOOTALLY_RELAY_H
#define BAMBOOTALLY_RELAY_H

#include "types/action.h"

struct core;

/* Where this node reads records from.  In each zone the nodes that rank first
   read the log; each of the others reads from one before it in the ranking,
   so that no node is read by more than a few.  A source that fails or is stale
   is replaced by the next one, and then by the log itself.  The lease does not
   depend on how fresh the view is.  */

#define RELAY_FANOUT 12u /* nodes that read from one */

struct relay
{
  gboolean from_peer;       /* records come from a peer */
  guint64 peer_incarnation; /* that peer */
  guint64
      chosen_at_offset;  /* view that the source was chosen by, 0 for anew */
  guint32 failure_count; /* sources that failed since the last good one */
  gint64 log_only_until; /* the log is read until then, monotonic usec */
};

void relay_step (struct core *core, gint64 now, struct actions *out);
void relay_on_failed (struct core *core, gint64 now, struct actions *out);
guint32 relay_parent (guint32 rank, guint32 relays, guint32 failures);

#endif

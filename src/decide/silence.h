#ifndef BAMBOOTALLY_SILENCE_H
#define BAMBOOTALLY_SILENCE_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Detects connections that are half-open, so that new ones would work, and
   nodes that hang.  The short calls between nodes serve as probes: after a
   number of consecutive timeouts the connection is closed, and the next call
   opens a new one.  A node that has let a request wait is called for this
   purpose alone.  A timeout counts as a failure in the circuit breaker of the
   node, however the request itself ends.  */

#define SILENCE_TIMEOUTS 2u /* consecutive timeouts that close a connection   \
                             */
#define SILENCE_PROBE_AFTER_USEC                                              \
  ((gint64)150000) /* a request has waited so long when its node is probed */
#define SILENCE_PROBE_EVERY_USEC                                              \
  ((gint64)300000)                          /* between two probes of a node */
#define SILENCE_PROBE_USEC ((gint64)250000) /* deadline of a probe */

/* Probe state of the connection to one node.  */
struct silence
{
  guint32 timeouts; /* consecutive calls without a reply */
  gint64 probe_at;  /* no probe is sent before then, monotonic usec */
};

void silence_on_reply (struct core *core, const struct event_peer_reply *event,
                       gint64 now, struct actions *out);
void silence_probe (struct core *core, guint64 peer, gint64 now,
                    struct actions *out);

#endif

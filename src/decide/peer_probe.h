#ifndef BAMBOOTALLY_PEER_PROBE_H
#define BAMBOOTALLY_PEER_PROBE_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Detects half-open connections, where a new connection would work, and nodes
   that hang.  The short calls between nodes serve as probes: after a number of
   consecutive timeouts the connection is retired, and the next call opens a
   new one.  A node that has let a request wait is called for this purpose
   alone.  A timeout counts as a failure in the circuit breaker of the node,
   however the request itself ends.  */

#define PEER_PROBE_TIMEOUTS_MAX                                               \
  2u /* consecutive timeouts until a connection is retired */
#define PEER_PROBE_AFTER_USEC                                                 \
  ((gint64)150000) /* a node is probed when a request has waited for it so    \
                      long */
#define PEER_PROBE_INTERVAL_USEC                                              \
  ((gint64)300000) /* time between two probes of a node */
#define PEER_PROBE_TIMEOUT_USEC ((gint64)250000) /* deadline of a probe */

/* State of the probes of one node.  */
struct peer_probe
{
  guint32 timeout_count; /* consecutive calls without a reply */
  gint64 next_probe_at;  /* no probe is sent before then, monotonic usec */
};

void peer_probe_on_reply (struct core *core,
                          const struct event_peer_reply *event, gint64 now,
                          struct actions *out);
void peer_probe_send (struct core *core, guint64 peer, gint64 now,
                      struct actions *out);

#endif

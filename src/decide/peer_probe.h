#ifndef BAMBOOTALLY_PEER_PROBE_H
#define BAMBOOTALLY_PEER_PROBE_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Connections that have gone silent while new ones would work, and nodes that
   are frozen.  Calls between nodes are short, so they are the probe: after a
   few in a row without an answer the connection is closed, and the next call
   makes a new one.  A node that a request waits for is called for that alone;
   one that does not answer counts as lost for requests too, whatever becomes
   of the request.  */

#define PEER_PROBE_TIMEOUTS_MAX 2u                /* calls without an answer */
#define PEER_PROBE_AFTER_USEC ((gint64)150000)    /* a request has waited */
#define PEER_PROBE_INTERVAL_USEC ((gint64)300000) /* between two probes */
#define PEER_PROBE_TIMEOUT_USEC ((gint64)250000)  /* a probe may take */

/* What is known of the connection to one node.  */
struct peer_probe
{
  guint32 timeout_count; /* calls in a row without an answer */
  gint64 next_probe_at;  /* not probed again before, monotonic usec */
};

void peer_probe_on_reply (struct core *core,
                          const struct event_peer_reply *event, gint64 now,
                          struct actions *out);
void peer_probe_send (struct core *core, guint64 peer, gint64 now,
                      struct actions *out);

#endif

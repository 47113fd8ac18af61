#ifndef BAMBOOTALLY_SILENCE_H
#define BAMBOOTALLY_SILENCE_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Connections that have gone silent while new ones would work, and nodes that
   are frozen.  Calls between nodes are short, so they are the probe: after a
   few in a row without an answer the connection is closed, and the next call
   makes a new one.  A node that a request waits for is called for that alone;
   one that does not answer counts as lost for requests too, whatever becomes
   of the request.  */

#define SILENCE_TIMEOUTS 2u                       /* calls without an answer */
#define SILENCE_PROBE_AFTER_USEC ((gint64)150000) /* a request has waited */
#define SILENCE_PROBE_EVERY_USEC ((gint64)300000) /* between two probes */
#define SILENCE_PROBE_USEC ((gint64)250000)       /* a probe may take */

/* What is known of the connection to one node.  */
struct silence
{
  guint32 timeouts; /* calls in a row without an answer */
  gint64 probe_at;  /* not probed again before, monotonic usec */
};

void silence_on_reply (struct core *core, const struct event_peer_reply *event,
                       gint64 now, struct actions *out);
void silence_probe (struct core *core, guint64 peer, gint64 now,
                    struct actions *out);

#endif

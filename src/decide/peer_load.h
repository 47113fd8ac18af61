#ifndef BAMBOOTALLY_PEER_LOAD_H
#define BAMBOOTALLY_PEER_LOAD_H

#include <glib.h>

/* Load of another node, or of the own server, as seen from this node: the
   requests in flight there and their recent latency.  The latency reflects the
   load from other callers too, and loses weight as it ages.  */

struct peer_load
{
  guint32 in_flight;  /* requests sent there that have not ended */
  gint64 mean_usec;   /* moving average of request times */
  gint64 measured_at; /* when the last request ended, monotonic usec; 0 if none
                         has */
};

void peer_load_on_sent (struct peer_load *load);
void peer_load_on_ended (struct peer_load *load, gint64 sent_at, gint64 now);
void peer_load_on_cancelled (struct peer_load *load);
gint64 peer_load_estimate_usec (const struct peer_load *load, guint32 ahead,
                                guint32 slots, gint64 now);

#endif

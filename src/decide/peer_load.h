#ifndef BAMBOOTALLY_PEER_LOAD_H
#define BAMBOOTALLY_PEER_LOAD_H

#include <glib.h>

/* What this node sees of the load of another one, or of its own server: the
   requests that it has there, and how long the last ones took.  The latter
   stands for the load that others lay on it, and counts for less as it
   ages.  */

struct peer_load
{
  guint32 in_flight;  /* requests sent there that have not ended */
  gint64 mean_usec;   /* smoothed time of a request, in microseconds */
  gint64 measured_at; /* when the last one ended, monotonic usec; 0: none */
};

void peer_load_on_sent (struct peer_load *load);
void peer_load_on_ended (struct peer_load *load, gint64 sent, gint64 now);
void peer_load_on_cancelled (struct peer_load *load);
gint64 peer_load_estimate_usec (const struct peer_load *load, guint32 ahead,
                                guint32 slots, gint64 now);

#endif

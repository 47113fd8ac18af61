#ifndef BAMBOOTALLY_TRANSIT_H
#define BAMBOOTALLY_TRANSIT_H

#include <glib.h>

/* How long messages on a connection were held up on their way, by the clocks
   of both ends.  The clocks are not set to the same time: what counts is how
   much longer a message took than the fastest of late.  */

struct transit
{
  gint64 lowest_usec[2]; /* lowest difference of the clocks at the receipt of a
                            message, in the current window and in the one
                            before; G_MAXINT64: no message */
  gint64 window_ends_at; /* end of the current window, monotonic microseconds;
                            0: there was no message yet */
};

gint64 transit_delay_usec (struct transit *transit, gint64 sent_at,
                           gint64 now);

#endif

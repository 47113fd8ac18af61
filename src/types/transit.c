#include "types/transit.h"

#include "types/limits.h"

/* Windows are short enough for the drift between two clocks not to matter, and
   longer than links are held up.  */
#define WINDOW_USEC ((gint64)30 * USEC_PER_SEC)

/* Begin a new window at NOW if the current one has ended.  */
static void
begin_window (struct transit *transit, gint64 now)
{
  gboolean is_next = now < transit->window_ends_at + WINDOW_USEC;

  if (now < transit->window_ends_at)
    return;
  transit->lowest_usec[1] = is_next ? transit->lowest_usec[0] : G_MAXINT64;
  transit->lowest_usec[0] = G_MAXINT64;
  transit->window_ends_at = now + WINDOW_USEC;
}

/* Note a message that was sent at SENT_AT on the clock of the other end and
   received at NOW, monotonic microseconds.  Return how much longer it took
   than the fastest of late, 0 for the first one.  */
gint64
transit_delay_usec (struct transit *transit, gint64 sent_at, gint64 now)
{
  gint64 difference = now - sent_at;

  begin_window (transit, now);
  transit->lowest_usec[0] = MIN (transit->lowest_usec[0], difference);
  return difference - MIN (transit->lowest_usec[0], transit->lowest_usec[1]);
}

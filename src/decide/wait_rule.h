#ifndef BAMBOOTALLY_WAIT_RULE_H
#define BAMBOOTALLY_WAIT_RULE_H

#include <glib.h>

/* Whether a request that waits for a slot is expected to end in time.

   Load pattern: a server with 6 slots is offered 0.8, 1.1 or 1.6 of its
   capacity, or 1.7 for 3 s, by requests of several priorities that run for
   140 ms with a heavy tail, have a target latency of 600 ms and a deadline of
   2,500 ms.  A queue in order of arrival would make all of them late.  The
   requests that can still meet their target go first, and those that cannot
   take what capacity is left; those for which none is left are refused.  */

/* Wait of a request that will not get a slot while the load lasts.  */
#define WAIT_RULE_NEVER_USEC ((gint64)3600 * G_USEC_PER_SEC)

/* The place of a request in the queue.  */
struct wait_place
{
  gint64 ahead_usec; /* run time of what runs before it */
  gint64 free_milli; /* thousandths of a slot that later requests which go
                        before it leave free */
  gint64 run_usec;   /* expected run time of the request */
};

gint64 wait_rule_wait_usec (const struct wait_place *place);
gint64 wait_rule_start_by (gint64 due_at, gint64 run_usec);
gint64 wait_rule_next_slot_usec (gint64 mean_run_usec, guint32 slots,
                                 gint64 since_start_usec);
gboolean wait_rule_completes (const struct wait_place *place,
                              gint64 left_usec);

#endif

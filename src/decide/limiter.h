#ifndef BAMBOOTALLY_LIMITER_H
#define BAMBOOTALLY_LIMITER_H

#include <glib.h>

/* How fast the backend server runs requests, and how many it is given at
   once: fewer while it is cold, and fewer after it has shed load.  */

#define LIMITER_WARMUP_USEC ((gint64)5000000) /* a server is cold so long */

struct limiter
{
  gint64 warmup_until;    /* all slots are used from then on, monotonic usec */
  gint64 mean_run_usec;   /* moving average of run times, 0 if not known */
  guint32 withheld_slots; /* slots held back after the server shed load */
  gint64 next_release_at; /* when one of them is given back */
};

void limiter_on_up (struct limiter *limiter, gint64 now);
void limiter_on_done (struct limiter *limiter, gint64 usec);
void limiter_on_shed (struct limiter *limiter, guint32 slots, gint64 now);
guint32 limiter_slots (struct limiter *limiter, guint32 slots, gint64 now);
gint64 limiter_wait_usec (const struct limiter *limiter, guint32 ahead,
                          guint32 slots);

#endif

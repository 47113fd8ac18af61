#ifndef BAMBOOTALLY_PACE_H
#define BAMBOOTALLY_PACE_H

#include <glib.h>

/* Adaptive concurrency limit for the backend server: the number of slots grows
   while the server warms up, and shrinks after it has shed load.  */

#define PACE_COLD_USEC ((gint64)5000000) /* a server warms up for so long */

struct pace
{
  gint64 warm_at;    /* the server warms up until then, monotonic usec */
  gint64 run_usec;   /* moving average of run times, 0 if not known */
  guint32 held;      /* slots withheld after the server shed load */
  gint64 release_at; /* when the next withheld slot is given back, monotonic
                        usec */
};

void pace_on_up (struct pace *pace, gint64 now);
void pace_on_done (struct pace *pace, gint64 usec);
void pace_on_shed (struct pace *pace, guint32 slots, gint64 now);
guint32 pace_slots (struct pace *pace, guint32 slots, gint64 now);
gint64 pace_wait (const struct pace *pace, guint32 ahead, guint32 slots);

#endif

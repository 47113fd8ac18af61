#ifndef BAMBOOTALLY_PACE_H
#define BAMBOOTALLY_PACE_H

#include <glib.h>

/* How fast the backend server runs requests, and how many it is given at
   once: fewer while it is cold, and fewer after it has shed load.  */

#define PACE_COLD_USEC ((gint64)5000000) /* a server is cold so long */

struct pace
{
  gint64 warm_at;    /* all slots are used from then on, monotonic usec */
  gint64 run_usec;   /* moving average of run times, 0 if not known */
  guint32 held;      /* slots held back after the server shed load */
  gint64 release_at; /* when one of them is given back */
};

void pace_on_up (struct pace *pace, gint64 now);
void pace_on_done (struct pace *pace, gint64 usec);
void pace_on_shed (struct pace *pace, guint32 slots, gint64 now);
guint32 pace_slots (struct pace *pace, guint32 slots, gint64 now);
gint64 pace_wait (const struct pace *pace, guint32 ahead, guint32 slots);

#endif

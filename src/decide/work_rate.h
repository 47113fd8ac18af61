#ifndef BAMBOOTALLY_WORK_RATE_H
#define BAMBOOTALLY_WORK_RATE_H

#include <glib.h>

/* The rate at which work was admitted recently, by class: run time that was
   admitted per unit of time, which is the number of slots that the class
   occupies.  A queued request is overtaken at the rate of the classes that go
   before its own.  */

/* Classes in the order in which they run; admission_class numbers them.  */
#define WORK_CLASSES 12u

struct work_rate
{
  gint64 at;                 /* time of the last update, monotonic usec */
  gint64 usec[WORK_CLASSES]; /* run time admitted, fading with its age */
};

void work_rate_add (struct work_rate *rate, guint class, gint64 run_usec,
                    gint64 now);
void work_rate_fade (struct work_rate *rate, gint64 now);
gint64 work_rate_before_milli (const struct work_rate *rate, guint class);

#endif

#include "decide/work_rate.h"

/* Window over which the rate is averaged.  With a window of 1 s, random
   variations at 0.8 of the capacity made requests be refused that would have
   completed; a longer one follows a burst of 3 s too late.  */
#define WINDOW_USEC ((gint64)2000000)

/* Longest run that is counted.  A few long runs that start together would look
   like a lasting overload: 6 runs of 3 s within the window are more than 6
   slots can run in it, though the slots are free again 3 s later.  */
#define RUN_MAX_USEC (WINDOW_USEC / 4)

/* Let the work in RATE fade up to NOW.  */
void
work_rate_fade (struct work_rate *rate, gint64 now)
{
  gint64 elapsed = CLAMP (now - rate->at, 0, WINDOW_USEC);
  guint i;

  rate->at = now;
  for (i = 0; i < WORK_CLASSES; i++)
    rate->usec[i] -= rate->usec[i] * elapsed / WINDOW_USEC;
}

/* Record that a request of CLASS that is expected to run for RUN_USEC was
   admitted.  */
void
work_rate_add (struct work_rate *rate, guint class, gint64 run_usec,
               gint64 now)
{
  work_rate_fade (rate, now);
  rate->usec[class] += MIN (run_usec, RUN_MAX_USEC);
}

/* Return how many thousandths of a slot the classes before CLASS occupied at
   the last update.  */
gint64
work_rate_before_milli (const struct work_rate *rate, guint class)
{
  gint64 total = 0;
  guint i;

  for (i = 0; i < class; i++)
    total += rate->usec[i];
  return total * 1000 / WINDOW_USEC;
}

#include "decide/breaker.h"

#define FAILURES_TO_OPEN 5u /* consecutive failures that open the breaker */
/* Open time after the first opening.  */
#define OPEN_FIRST_USEC ((gint64)250000)
#define OPEN_MAX_USEC ((gint64)4000000) /* longest open time */
/* A probe request without a result counts as lost after this time.  */
#define PROBE_TIMEOUT_USEC ((gint64)1000000)
#define OPEN_DOUBLINGS_MAX 8u /* limit on doublings of the open time */

/* Tell whether a request may be sent at NOW.  */
gboolean
breaker_allows (const struct breaker *breaker, gint64 now)
{
  return breaker->state == BREAKER_CLOSED || now >= breaker->blocked_until;
}

/* Record that a request was sent at NOW: if the breaker is not closed, this
   request is the probe.  */
void
breaker_on_sent (struct breaker *breaker, gint64 now)
{
  if (breaker->state == BREAKER_CLOSED)
    return;
  breaker->state = BREAKER_HALF_OPEN;
  breaker->blocked_until = now + PROBE_TIMEOUT_USEC;
}

/* Return how long, in microseconds, a breaker with FAILURES in a row stays
   open.  */
static gint64
open_time (guint32 failures)
{
  guint32 doublings = MIN (failures - FAILURES_TO_OPEN, OPEN_DOUBLINGS_MAX);

  return MIN (OPEN_FIRST_USEC << doublings, OPEN_MAX_USEC);
}

/* Record that a request ended with RESULT.  Return TRUE if that opened or
   closed the breaker.  Failures of requests that were sent before the breaker
   opened do not extend the time it stays open.  */
gboolean
breaker_on_result (struct breaker *breaker, enum breaker_result result,
                   gint64 now)
{
  enum breaker_state before = breaker->state;

  switch (result)
    {
    case BREAKER_SUCCESS:
      breaker->state = BREAKER_CLOSED;
      breaker->consecutive_failures = 0;
      break;
    case BREAKER_FAILURE:
      if (breaker->state == BREAKER_OPEN && now < breaker->blocked_until)
        break;
      breaker->consecutive_failures++;
      if (breaker->consecutive_failures < FAILURES_TO_OPEN)
        break;
      breaker->state = BREAKER_OPEN;
      breaker->blocked_until = now + open_time (breaker->consecutive_failures);
      break;
    }
  return (before == BREAKER_CLOSED) != (breaker->state == BREAKER_CLOSED);
}

#include "decide/breaker.h"

#define FAILURES_TO_OPEN 5u              /* failures in a row that open it */
#define OPEN_FIRST_USEC ((gint64)250000) /* first time it is open */
#define OPEN_MAX_USEC ((gint64)4000000)  /* longest time it is open */
#define TRYING_USEC ((gint64)1000000)    /* the one request is then lost */
#define OPEN_DOUBLINGS_MAX 8u            /* the time doubles so often */

/* Tell whether a request may pass at NOW.  */
gboolean
breaker_allows (const struct breaker *breaker, gint64 now)
{
  return breaker->state == BREAKER_CLOSED || now >= breaker->blocked_until;
}

/* A request passes.  */
void
breaker_on_sent (struct breaker *breaker, gint64 now)
{
  if (breaker->state == BREAKER_CLOSED)
    return;
  breaker->state = BREAKER_HALF_OPEN;
  breaker->blocked_until = now + TRYING_USEC;
}

/* How long a breaker with FAILURES in a row stays open.  */
static gint64
open_time (guint32 failures)
{
  guint32 doublings = MIN (failures - FAILURES_TO_OPEN, OPEN_DOUBLINGS_MAX);

  return MIN (OPEN_FIRST_USEC << doublings, OPEN_MAX_USEC);
}

/* A request ended with SIGN.  Return TRUE if that opened or closed the
   breaker.  Requests sent before it opened do not make the time longer.  */
gboolean
breaker_on_result (struct breaker *breaker, enum breaker_result sign,
                   gint64 now)
{
  enum breaker_state before = breaker->state;

  switch (sign)
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

#include "serve/call_retry.h"

/* Servers that are tried before the first pause.  After a pause one server is
   tried, so that a node that is short of processor time does not spend it on
   refusals.  */
#define FIRST_TRIES 3u

/* Shortest pause, one tick of a node's timer; a pause takes at most one part
   in PAUSE_DIVISOR of the time that is left for waiting, so that there is time
   for several further attempts.  */
#define PAUSE_MIN_USEC ((gint64)25000)
#define PAUSE_DIVISOR 3

/* Return how to go on with the call of REFUSAL.  */
struct call_retry
call_retry_decide (const struct call_refusal *refusal)
{
  guint32 tries = refusal->pause_count == 0 ? FIRST_TRIES : 1;
  gint64 spare_usec = refusal->left_usec - refusal->need_usec;
  struct call_retry retry = { .action = CALL_RETRY_FAIL };

  if (spare_usec < 0)
    return retry;
  if (refusal->other_is_free && refusal->tried_count < tries)
    {
      retry.action = CALL_RETRY_ELSEWHERE;
      return retry;
    }
  if (spare_usec < PAUSE_MIN_USEC)
    return retry;
  retry.action = CALL_RETRY_PAUSE;
  retry.pause_usec = MAX (
      PAUSE_MIN_USEC, MIN (refusal->advice_usec, spare_usec / PAUSE_DIVISOR));
  return retry;
}

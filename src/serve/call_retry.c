#include "serve/call_retry.h"

/* Servers that are tried before the first pause.  After a pause one server is
   tried, so that a node that is short of processor time does not spend it on
   refusals.  */
#define FIRST_TRIES 3u

/* Shortest pause, one tick of a node's timer.  Each further pause is longer by
   as much: with equal pauses a call made 12 attempts where its servers were
   offered 1.6 of their capacity and it had the last priority; now 8 or 9.  */
#define PAUSE_MIN_USEC ((gint64)25000)

/* The advice of a node counts for at most one part in this many of the time
   that is left for waiting.  */
#define ADVICE_DIVISOR 3

/* Return how long the call of REFUSAL pauses, which has SPARE_USEC left for
   waiting.  The last attempt is made a tick before no time is left.  */
static gint64
pause_usec (const struct call_refusal *refusal, gint64 spare_usec)
{
  gint64 least_usec = PAUSE_MIN_USEC * (gint64)(refusal->pause_count + 1);
  gint64 advised_usec
      = MIN (refusal->advice_usec, spare_usec / ADVICE_DIVISOR);

  return MIN (MAX (least_usec, advised_usec),
              MAX (spare_usec - PAUSE_MIN_USEC, PAUSE_MIN_USEC));
}

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
  retry.pause_usec = pause_usec (refusal, spare_usec);
  return retry;
}

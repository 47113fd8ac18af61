#include "decide/admission.h"

#include <string.h>

#define RETRY_MSEC_MIN 50u /* shortest retry advice */

/* A start that a limit allows is noticed at most this long after it is due,
   with the next tick.  */
#define START_DELAY_USEC ((gint64)30000)

/* Until the server has answered it gets one part in this many of its slots,
   at least UNANSWERED_SLOTS_MIN: it may have named a limit to an earlier
   process of this node.  */
#define UNANSWERED_DIVISOR 4u
#define UNANSWERED_SLOTS_MIN 2u

/* Share of the spare time before its due time that a request may be expected
   to spend in the queue.  The share is less than 100 because run times vary
   around their mean.  */
#define WAIT_SPARE_PERCENT 50

/* Set up admission for a backend server that has not announced itself.  */
void
admission_init (struct admission *admission)
{
  admission->slots = 0;
  admission->busy_slots = 0;
  admission->peak_busy = 0;
  admission->previous_peak_busy = 0;
  admission->queue_max = 0;
  admission->max_wait_percent = 100;
  memset (&admission->limiter, 0, sizeof admission->limiter);
  server_load_init (&admission->server_load);
  memset (&admission->limit, 0, sizeof admission->limit);
  memset (&admission->warmup, 0, sizeof admission->warmup);
  admission->awaits_answer = FALSE;
  admission->queue
      = g_array_new (FALSE, TRUE, sizeof (struct admission_waiter));
}

/* Release the queue of ADMISSION.  */
void
admission_clear (struct admission *admission)
{
  g_array_free (admission->queue, TRUE);
  admission->queue = NULL;
}

/* Tell whether A runs before B.  */
static gboolean
runs_before (const struct admission_waiter *a,
             const struct admission_waiter *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a->is_call != b->is_call)
    return a->is_call;
  return a->due_at < b->due_at;
}

/* Insert WAITER into the queue at its place in the run order.  */
static void
enqueue (struct admission *admission, const struct admission_waiter *waiter)
{
  guint at = admission->queue->len;

  while (at > 0
         && runs_before (waiter,
                         &g_array_index (admission->queue,
                                         struct admission_waiter, at - 1)))
    at--;
  g_array_insert_vals (admission->queue, at, waiter, 1);
}

/* Return how many slots may be in use at NOW: less than the server has until
   it has answered, while it warms up, after refusals, and while it is loaded
   by others.  */
static guint32
usable_slots (struct admission *admission, gint64 now)
{
  guint32 slots = limiter_slots (&admission->limiter, admission->slots, now);

  if (slots == 0)
    return 0;
  if (admission->awaits_answer)
    return MIN (slots, MAX (slots / UNANSWERED_DIVISOR, UNANSWERED_SLOTS_MIN));
  return slots
         - MIN (server_load_withheld (&admission->server_load, now),
                slots - 1);
}

/* Return how long a request waits for its start behind AHEAD others under the
   rates that the server takes, in microseconds.  */
static gint64
rate_wait_usec (const struct admission *admission, guint32 ahead, gint64 now)
{
  return MAX (server_limit_wait_usec (&admission->limit, ahead, now),
              warmup_wait_usec (&admission->warmup, ahead, now));
}

/* Tell whether the server may be given one more request now: a slot is free
   and the rates that the server takes allow another start.  */
static gboolean
may_start (struct admission *admission, gint64 now)
{
  return admission->busy_slots < usable_slots (admission, now)
         && rate_wait_usec (admission, 0, now) == 0;
}

/* Tell whether a request would run at once.  */
gboolean
admission_has_free_slot (struct admission *admission, gint64 now)
{
  return admission->queue->len == 0 && may_start (admission, now);
}

/* Return after how many milliseconds a refused request may find a slot.  Under
   a limit that the server names, each call returns a later time.  */
guint32
admission_retry_msec (struct admission *admission, gint64 now)
{
  guint32 queued = admission->queue->len;
  gint64 wait = MAX (limiter_wait_usec (&admission->limiter, queued,
                                        usable_slots (admission, now)),
                     server_limit_retry_usec (&admission->limit, queued, now));

  wait = MAX (wait, warmup_retry_usec (&admission->warmup, queued, now));
  return MAX ((guint32)(wait / USEC_PER_MSEC), RETRY_MSEC_MIN);
}

/* Mark one more slot as in use.  */
static void
take_slot (struct admission *admission, gint64 now)
{
  server_limit_take (&admission->limit, now);
  warmup_take (&admission->warmup, now);
  admission->busy_slots++;
  admission->peak_busy = MAX (admission->peak_busy, admission->busy_slots);
}

/* Estimate how long WAITER waits and runs if it enters the queue at NOW.  */
static struct admission_forecast
forecast (struct admission *admission, const struct admission_waiter *waiter,
          gint64 now)
{
  struct admission_forecast forecast = { .run_usec = waiter->run_usec };
  guint i;

  for (i = 0; i < admission->queue->len; i++)
    if (!runs_before (waiter, &g_array_index (admission->queue,
                                              struct admission_waiter, i)))
      forecast.requests_ahead++;
  forecast.wait_usec
      = MAX (limiter_wait_usec (&admission->limiter, forecast.requests_ahead,
                                usable_slots (admission, now)),
             rate_wait_usec (admission, forecast.requests_ahead, now));
  return forecast;
}

/* Return whether WAITER, behind AHEAD others, starts within its longest wait
   under the rates that the server takes.  */
gboolean
admission_starts_in_time (const struct admission *admission,
                          const struct admission_waiter *waiter, guint32 ahead,
                          gint64 now)
{
  gint64 wait = rate_wait_usec (admission, ahead, now);

  return wait == 0 || now + wait + START_DELAY_USEC <= waiter->wait_until;
}

/* Return why WAITER must not enter the queue, or REASON_NONE.  Under overload,
   a queue of requests that end late would make all later ones late too, so a
   request is refused if its expected wait is too long.  One request may always
   wait for a slot, so that the server has no idle ones.  The wait under a
   limit is certain, so a request that would not start in time is refused at
   once.  */
static enum reason
check_wait (struct admission *admission, const struct admission_waiter *waiter,
            gint64 now)
{
  struct admission_forecast expected = forecast (admission, waiter, now);
  gint64 spare = waiter->due_at - now - expected.run_usec;

  if (now + expected.wait_usec + expected.run_usec > waiter->deadline)
    return REASON_DEADLINE;
  if (!admission_starts_in_time (admission, waiter, expected.requests_ahead,
                                 now))
    return warmup_is_cold (&admission->warmup, now) ? REASON_WARMING_UP
                                                    : REASON_OVERLOAD;
  if (expected.requests_ahead > 0 && waiter->due_at < waiter->deadline
      && expected.wait_usec > spare * WAIT_SPARE_PERCENT / 100)
    return REASON_OVERLOAD;
  return REASON_NONE;
}

/* Tell whether the queue is full of requests that run before WAITER.  */
static gboolean
queue_is_full (const struct admission *admission,
               const struct admission_waiter *waiter)
{
  return admission->queue_max == 0
         || (admission->queue->len >= admission->queue_max
             && !runs_before (waiter,
                              &g_array_index (admission->queue,
                                              struct admission_waiter,
                                              admission->queue->len - 1)));
}

/* Return the queue entry of REQUEST at NOW.  */
static struct admission_waiter
make_waiter (const struct admission *admission, struct handle exchange,
             const struct request *request, gint64 now)
{
  struct admission_waiter waiter
      = { exchange,
          request->priority,
          request->is_call,
          request->deadline,
          request->due_at != 0 ? MIN (request->due_at, request->deadline)
                               : request->deadline,
          now + (request->deadline - now) * admission->max_wait_percent / 100,
          request->expected_run_usec > 0 ? request->expected_run_usec
                                         : admission->limiter.mean_run_usec };

  return waiter;
}

/* Estimate how long REQUEST waits and runs if it enters the queue at NOW.  */
struct admission_forecast
admission_forecast (struct admission *admission, const struct request *request,
                    gint64 now)
{
  struct admission_waiter waiter
      = make_waiter (admission, HANDLE_NONE, request, now);

  return forecast (admission, &waiter, now);
}

/* Give REQUEST a slot, queue it, or refuse it and put the reason into
   REASON.  */
enum admission_result
admission_request (struct admission *admission, struct handle exchange,
                   const struct request *request, gint64 now,
                   enum reason *reason)
{
  struct admission_waiter waiter
      = make_waiter (admission, exchange, request, now);

  *reason = REASON_NONE;
  if (admission->slots == 0)
    *reason = REASON_SERVER_DOWN;
  else if (request->deadline <= now)
    *reason = REASON_DEADLINE;
  if (*reason != REASON_NONE)
    return ADMISSION_REFUSE;
  if (admission_has_free_slot (admission, now))
    {
      take_slot (admission, now);
      return ADMISSION_RUN;
    }
  *reason = check_wait (admission, &waiter, now);
  if (*reason == REASON_NONE && queue_is_full (admission, &waiter))
    *reason = REASON_OVERLOAD;
  if (*reason != REASON_NONE)
    return ADMISSION_REFUSE;
  enqueue (admission, &waiter);
  return ADMISSION_QUEUE;
}

/* Free the slot of a request that has ended or does not run.  A release too
   many is reported as an error of this program and changes nothing, since the
   other requests of the process can still be served.  */
void
admission_release (struct admission *admission)
{
  g_return_if_fail (admission->busy_slots > 0);
  admission->busy_slots--;
}

/* Free the slot of a request that was not sent to the server after all.  */
void
admission_give_back (struct admission *admission)
{
  server_limit_give_back (&admission->limit);
  warmup_give_back (&admission->warmup);
  admission_release (admission);
}

/* Give a free slot to the first request in the queue and put that request into
   EXCHANGE.  Return FALSE if no slot is free or the queue is empty.  */
gboolean
admission_next (struct admission *admission, gint64 now,
                struct handle *exchange)
{
  if (admission->queue->len == 0 || !may_start (admission, now))
    return FALSE;
  *exchange
      = g_array_index (admission->queue, struct admission_waiter, 0).exchange;
  g_array_remove_index (admission->queue, 0);
  take_slot (admission, now);
  return TRUE;
}

#include "decide/admission_parts.h"

#include <string.h>

#define RETRY_MSEC_MIN 50u /* shortest retry advice */

/* Until the server has answered it gets one part in this many of its slots,
   at least UNANSWERED_SLOTS_MIN: it may have named a limit to an earlier
   process of this node.  */
#define UNANSWERED_DIVISOR 4u
#define UNANSWERED_SLOTS_MIN 2u

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
  memset (&admission->retry_spread, 0, sizeof admission->retry_spread);
  memset (&admission->work_rate, 0, sizeof admission->work_rate);
  memset (&admission->warmup, 0, sizeof admission->warmup);
  admission->awaits_answer = FALSE;
  admission->last_start_at = 0;
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

/* Return how many slots may be in use at NOW: less than the server has until
   it has answered, while it warms up, after refusals, and while it is loaded
   by others.  */
guint32
admission_usable_slots (struct admission *admission, gint64 now)
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
gint64
admission_rate_wait_usec (const struct admission *admission, guint32 ahead,
                          gint64 now)
{
  return MAX (server_limit_wait_usec (&admission->limit, ahead, now),
              warmup_wait_usec (&admission->warmup, ahead, now));
}

/* Tell whether the server may be given one more request now: a slot is free
   and the rates that the server takes allow another start.  */
static gboolean
may_start (struct admission *admission, gint64 now)
{
  return admission->busy_slots < admission_usable_slots (admission, now)
         && admission_rate_wait_usec (admission, 0, now) == 0;
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
  gint64 wait
      = MAX (limiter_wait_usec (&admission->limiter, queued,
                                admission_usable_slots (admission, now)),
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
  admission->last_start_at = now;
  admission->busy_slots++;
  admission->peak_busy = MAX (admission->peak_busy, admission->busy_slots);
}

/* Tell whether the queue is full of requests that run before WAITER.  */
static gboolean
queue_is_full (const struct admission *admission,
               const struct admission_waiter *waiter)
{
  return admission->queue_max == 0
         || (admission->queue->len >= admission->queue_max
             && !admission_runs_before (
                 waiter,
                 &g_array_index (admission->queue, struct admission_waiter,
                                 admission->queue->len - 1)));
}

/* Return the queue entry of REQUEST at NOW.  */
static struct admission_waiter
make_waiter (const struct admission *admission, struct handle exchange,
             const struct request *request, gint64 now)
{
  gint64 run_usec = request->expected_run_usec > 0
                        ? request->expected_run_usec
                        : admission->limiter.mean_run_usec;
  gint64 due_at = request->due_at != 0
                      ? MIN (request->due_at, request->deadline)
                      : request->deadline;
  struct admission_waiter waiter = {
    .exchange = exchange,
    .priority = request->priority,
    .is_call = request->is_call,
    .deadline = request->deadline,
    .due_at = due_at,
    .wait_until
    = MIN (now + (request->deadline - now) * admission->max_wait_percent / 100,
           request->deadline - run_usec),
    .run_usec = run_usec,
    .start_by = wait_rule_start_by (due_at, run_usec)
  };

  return waiter;
}

/* Estimate how long REQUEST waits and runs if it enters the queue at NOW.  */
struct admission_forecast
admission_forecast (struct admission *admission, const struct request *request,
                    gint64 now)
{
  struct admission_waiter waiter
      = make_waiter (admission, HANDLE_NONE, request, now);

  return admission_forecast_waiter (admission, &waiter, now);
}

/* Return after how long the caller of REQUEST, which is refused at NOW, is to
   return, in microseconds: spread over the time in which there is capacity for
   its priority, within a third of the time that it has left.  A rate that the
   server takes gives later times, which are certain.  */
gint64
admission_retry_usec (struct admission *admission,
                      const struct request *request, gint64 now)
{
  struct admission_waiter waiter
      = make_waiter (admission, HANDLE_NONE, request, now);
  struct admission_forecast expected
      = admission_forecast_waiter (admission, &waiter, now);
  guint32 queued = admission->queue->len;
  struct retry_query query
      = { .priority = request->priority,
          .wait_usec = expected.wait_usec,
          .limit_usec = retry_spread_limit_usec (request->deadline - now) };
  gint64 rate_usec
      = MAX (server_limit_retry_usec (&admission->limit, queued, now),
             warmup_retry_usec (&admission->warmup, queued, now));

  if (rate_usec > 0)
    return MAX (rate_usec, MIN (query.wait_usec, query.limit_usec));
  if (expected.free_milli > 0)
    query.interval_usec = expected.run_usec * 1000 / expected.free_milli;
  return retry_spread_next_usec (&admission->retry_spread, &query, now);
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
      work_rate_add (&admission->work_rate, admission_class (&waiter),
                     waiter.run_usec, now);
      take_slot (admission, now);
      return ADMISSION_RUN;
    }
  admission_demote (admission, now);
  *reason = admission_check_wait (admission, &waiter, now);
  if (*reason == REASON_NONE && queue_is_full (admission, &waiter))
    *reason = REASON_OVERLOAD;
  if (*reason != REASON_NONE)
    return ADMISSION_REFUSE;
  admission_enqueue (admission, &waiter, now);
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
  admission_demote (admission, now);
  *exchange
      = g_array_index (admission->queue, struct admission_waiter, 0).exchange;
  g_array_remove_index (admission->queue, 0);
  take_slot (admission, now);
  return TRUE;
}

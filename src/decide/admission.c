#include "decide/admission.h"

#include <string.h>

#define RETRY_MSEC_MIN 50u /* shortest advice when to try again */

/* Of the time that a request has to spare until it is due, it may be expected
   to wait for this share: run times spread around their mean.  */
#define WAIT_PERCENT 50

/* Set up a gate whose server has not announced itself.  */
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
  admission->queue
      = g_array_new (FALSE, TRUE, sizeof (struct admission_waiter));
}

/* Release what GATE holds.  */
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
  return a->due_at < b->due_at;
}

/* Put WAITER where it belongs in the queue.  */
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

/* The server came up with SLOTS.  One that merely says so again stays as warm
   as it is.  */
void
admission_on_server_up (struct admission *admission, guint32 slots, gint64 now)
{
  if (admission->slots == 0)
    {
      limiter_on_up (&admission->limiter, now);
      server_load_init (&admission->server_load);
    }
  admission->slots = slots;
}

/* The server, which tells how cold it is by itself, runs SLOTS requests at
   once; LIMIT may wait.  */
void
admission_set_slots (struct admission *admission, guint32 slots, guint32 limit)
{
  admission->slots = slots;
  admission->queue_max = limit;
}

/* The server reported BUSY slots at MEASURED.  Reports lag, so the slots in
   use since the report before last count as those that the gate gave.  */
void
admission_on_load_report (struct admission *admission, guint32 busy,
                          gint64 measured)
{
  guint32 given = MAX (admission->peak_busy, admission->previous_peak_busy);

  server_load_on_report (&admission->server_load, busy, given, measured);
  admission->previous_peak_busy = admission->peak_busy;
  admission->peak_busy = admission->busy_slots;
}

/* A request ran for USEC to its end.  */
void
admission_on_done (struct admission *admission, gint64 usec)
{
  limiter_on_done (&admission->limiter, usec);
  server_load_on_done (&admission->server_load, admission->slots);
}

/* The server refused a request for want of slots.  */
void
admission_on_shed (struct admission *admission, gint64 now)
{
  limiter_on_shed (&admission->limiter, admission->slots, now);
  server_load_on_shed (&admission->server_load);
}

/* How many slots may be in use at NOW.  */
static guint32
slots_at (struct admission *admission, gint64 now)
{
  guint32 slots = limiter_slots (&admission->limiter, admission->slots, now);

  if (slots == 0)
    return 0;
  return slots
         - MIN (server_load_withheld (&admission->server_load, now),
                slots - 1);
}

/* Tell whether a request would run at once.  */
gboolean
admission_has_free_slot (struct admission *admission, gint64 now)
{
  return admission->busy_slots < slots_at (admission, now)
         && admission->queue->len == 0;
}

/* When a request that was refused may find a slot, in milliseconds.  */
guint32
admission_retry_msec (struct admission *admission, gint64 now)
{
  gint64 wait = limiter_wait_usec (&admission->limiter, admission->queue->len,
                                   slots_at (admission, now));

  return MAX ((guint32)(wait / USEC_PER_MSEC), RETRY_MSEC_MIN);
}

/* Take a slot.  */
static void
take_slot (struct admission *admission)
{
  admission->busy_slots++;
  admission->peak_busy = MAX (admission->peak_busy, admission->busy_slots);
}

/* What is to come of WAITER in the queue.  */
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
  forecast.wait_usec = limiter_wait_usec (
      &admission->limiter, forecast.requests_ahead, slots_at (admission, now));
  return forecast;
}

/* Why WAITER is not to wait behind those that run before it, or REASON_NONE.
   Where more is asked for than the server can do, a queue of requests that end
   late would make all that follow late as well.  One request may wait all the
   same, so that the server has no idle slots.  */
static enum reason
futile (struct admission *admission, const struct admission_waiter *waiter,
        gint64 now)
{
  struct admission_forecast coming = forecast (admission, waiter, now);
  gint64 spare = waiter->due_at - now - coming.run_usec;

  if (now + coming.wait_usec + coming.run_usec > waiter->deadline)
    return REASON_DEADLINE;
  if (coming.requests_ahead > 0 && waiter->due_at < waiter->deadline
      && coming.wait_usec > spare * WAIT_PERCENT / 100)
    return REASON_OVERLOAD;
  return REASON_NONE;
}

/* Tell whether there is no place for WAITER in the queue: it is full of others
   that run before it.  */
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

/* REQUEST as it would stand in the queue at NOW.  */
static struct admission_waiter
waiter_of (const struct admission *admission, struct handle exchange,
           const struct request *request, gint64 now)
{
  struct admission_waiter waiter
      = { exchange,
          request->priority,
          request->deadline,
          request->due_at != 0 ? MIN (request->due_at, request->deadline)
                               : request->deadline,
          now + (request->deadline - now) * admission->max_wait_percent / 100,
          request->expected_run_usec > 0 ? request->expected_run_usec
                                         : admission->limiter.mean_run_usec };

  return waiter;
}

/* What is to come of REQUEST if it joins the queue at NOW.  */
struct admission_forecast
admission_forecast (struct admission *admission, const struct request *request,
                    gint64 now)
{
  struct admission_waiter waiter
      = waiter_of (admission, HANDLE_NONE, request, now);

  return forecast (admission, &waiter, now);
}

/* Give REQUEST a slot, let it wait, or refuse it for REASON.  */
enum admission_result
admission_request (struct admission *admission, struct handle exchange,
                   const struct request *request, gint64 now,
                   enum reason *reason)
{
  struct admission_waiter waiter
      = waiter_of (admission, exchange, request, now);

  *reason = REASON_NONE;
  if (admission->slots == 0)
    *reason = REASON_SERVER_DOWN;
  else if (request->deadline <= now)
    *reason = REASON_DEADLINE;
  if (*reason != REASON_NONE)
    return ADMISSION_REFUSE;
  if (admission_has_free_slot (admission, now))
    {
      take_slot (admission);
      return ADMISSION_RUN;
    }
  *reason = futile (admission, &waiter, now);
  if (*reason == REASON_NONE && queue_is_full (admission, &waiter))
    *reason = REASON_OVERLOAD;
  if (*reason != REASON_NONE)
    return ADMISSION_REFUSE;
  enqueue (admission, &waiter);
  return ADMISSION_QUEUE;
}

/* Give back a slot.  */
void
admission_release (struct admission *admission)
{
  g_assert (admission->busy_slots > 0);
  admission->busy_slots--;
}

/* Give a free slot to the first request in the queue.  Return FALSE if there
   is no slot or no request.  */
gboolean
admission_next (struct admission *admission, gint64 now,
                struct handle *exchange)
{
  if (admission->queue->len == 0
      || admission->busy_slots >= slots_at (admission, now))
    return FALSE;
  *exchange
      = g_array_index (admission->queue, struct admission_waiter, 0).exchange;
  g_array_remove_index (admission->queue, 0);
  take_slot (admission);
  return TRUE;
}

#include "decide/gate.h"

#include <string.h>

#define RETRY_MSEC_MIN 50u /* shortest retry advice */

/* Share of the spare time before its due time that a request may be expected
   to spend in the queue.  It is less than 100 because run times vary around
   their mean.  */
#define WAIT_SPARE_PERCENT 50

/* Set up admission for a backend server that has not announced itself.  */
void
gate_init (struct gate *gate)
{
  gate->slots = 0;
  gate->busy = 0;
  gate->peak = 0;
  gate->peak_before = 0;
  gate->limit = 0;
  gate->patience = 100;
  memset (&gate->pace, 0, sizeof gate->pace);
  server_load_init (&gate->load);
  gate->waiting = g_array_new (FALSE, TRUE, sizeof (struct gate_waiter));
}

/* Release the queue of ADMISSION.  */
void
gate_clear (struct gate *gate)
{
  g_array_free (gate->waiting, TRUE);
  gate->waiting = NULL;
}

/* Tell whether A runs before B.  */
static gboolean
runs_before (const struct gate_waiter *a, const struct gate_waiter *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->due < b->due;
}

/* Insert WAITER into the queue at its place in the run order.  */
static void
enqueue (struct gate *gate, const struct gate_waiter *waiter)
{
  guint at = gate->waiting->len;

  while (at > 0
         && runs_before (waiter, &g_array_index (gate->waiting,
                                                 struct gate_waiter, at - 1)))
    at--;
  g_array_insert_vals (gate->waiting, at, waiter, 1);
}

/* Record that the backend server came up with SLOTS.  A repeated announcement
   of a running server does not restart its warm-up.  */
void
gate_on_up (struct gate *gate, guint32 slots, gint64 now)
{
  if (gate->slots == 0)
    {
      pace_on_up (&gate->pace, now);
      server_load_init (&gate->load);
    }
  gate->slots = slots;
}

/* Let the server run SLOTS requests at once and LIMIT requests wait.  For a
   server that accounts for its warm-up itself.  */
void
gate_set_slots (struct gate *gate, guint32 slots, guint32 limit)
{
  gate->slots = slots;
  gate->limit = limit;
}

/* Process a load report of the server: BUSY slots in use at MEASURED.  Reports
   lag behind, so the most slots in use since the report before last are taken
   as those that admission filled.  */
void
gate_on_load (struct gate *gate, guint32 busy, gint64 measured)
{
  guint32 given = MAX (gate->peak, gate->peak_before);

  server_load_on_report (&gate->load, busy, given, measured);
  gate->peak_before = gate->peak;
  gate->peak = gate->busy;
}

/* Record that a request ran to its end in USEC microseconds.  */
void
gate_on_done (struct gate *gate, gint64 usec)
{
  pace_on_done (&gate->pace, usec);
  server_load_on_done (&gate->load, gate->slots);
}

/* Record that the server refused a request because it had no free slot.  */
void
gate_on_shed (struct gate *gate, gint64 now)
{
  pace_on_shed (&gate->pace, gate->slots, now);
  server_load_on_shed (&gate->load);
}

/* Return how many slots may be in use at NOW: less than the server has while
   it warms up, after refusals, and while it is loaded by others.  */
static guint32
usable_slots (struct gate *gate, gint64 now)
{
  guint32 slots = pace_slots (&gate->pace, gate->slots, now);

  if (slots == 0)
    return 0;
  return slots - MIN (server_load_held (&gate->load, now), slots - 1);
}

/* Tell whether a request would run at once.  */
gboolean
gate_has_room (struct gate *gate, gint64 now)
{
  return gate->busy < usable_slots (gate, now) && gate->waiting->len == 0;
}

/* Return after how many milliseconds a refused request may find a slot.  */
guint32
gate_retry_msec (struct gate *gate, gint64 now)
{
  gint64 wait
      = pace_wait (&gate->pace, gate->waiting->len, usable_slots (gate, now));

  return MAX ((guint32)(wait / USEC_PER_MSEC), RETRY_MSEC_MIN);
}

/* Occupy a slot.  */
static void
take_slot (struct gate *gate)
{
  gate->busy++;
  gate->peak = MAX (gate->peak, gate->busy);
}

/* Estimate how long WAITER waits and runs if it enters the queue at NOW.  */
static struct gate_forecast
forecast (struct gate *gate, const struct gate_waiter *waiter, gint64 now)
{
  struct gate_forecast forecast = { .run_usec = waiter->run_usec };
  guint i;

  for (i = 0; i < gate->waiting->len; i++)
    if (!runs_before (waiter,
                      &g_array_index (gate->waiting, struct gate_waiter, i)))
      forecast.ahead++;
  forecast.wait_usec
      = pace_wait (&gate->pace, forecast.ahead, usable_slots (gate, now));
  return forecast;
}

/* Return why WAITER must not enter the queue, or REASON_NONE.  Under overload,
   a queue of requests that end late would make all later ones late too, so a
   request is refused if its expected wait is too long.  One request may always
   wait, so that the server has no idle slots.  */
static enum reason
check_wait (struct gate *gate, const struct gate_waiter *waiter, gint64 now)
{
  struct gate_forecast expected = forecast (gate, waiter, now);
  gint64 spare = waiter->due - now - expected.run_usec;

  if (now + expected.wait_usec + expected.run_usec > waiter->deadline)
    return REASON_DEADLINE;
  if (expected.ahead > 0 && waiter->due < waiter->deadline
      && expected.wait_usec > spare * WAIT_SPARE_PERCENT / 100)
    return REASON_OVERLOAD;
  return REASON_NONE;
}

/* Tell whether the queue is full of requests that run before WAITER.  */
static gboolean
queue_is_full (const struct gate *gate, const struct gate_waiter *waiter)
{
  return gate->limit == 0
         || (gate->waiting->len >= gate->limit
             && !runs_before (
                 waiter, &g_array_index (gate->waiting, struct gate_waiter,
                                         gate->waiting->len - 1)));
}

/* Return the queue entry of REQUEST at NOW.  */
static struct gate_waiter
make_waiter (const struct gate *gate, struct handle exchange,
             const struct request *request, gint64 now)
{
  struct gate_waiter waiter
      = { exchange,
          request->priority,
          request->deadline,
          request->due != 0 ? MIN (request->due, request->deadline)
                            : request->deadline,
          now + (request->deadline - now) * gate->patience / 100,
          request->run_usec > 0 ? request->run_usec : gate->pace.run_usec };

  return waiter;
}

/* Estimate how long REQUEST waits and runs if it enters the queue at NOW.  */
struct gate_forecast
gate_forecast (struct gate *gate, const struct request *request, gint64 now)
{
  struct gate_waiter waiter = make_waiter (gate, HANDLE_NONE, request, now);

  return forecast (gate, &waiter, now);
}

/* Give REQUEST a slot, queue it, or refuse it and put the reason into
   REASON.  */
enum gate_verdict
gate_admit (struct gate *gate, struct handle exchange,
            const struct request *request, gint64 now, enum reason *reason)
{
  struct gate_waiter waiter = make_waiter (gate, exchange, request, now);

  *reason = REASON_NONE;
  if (gate->slots == 0)
    *reason = REASON_SERVER_DOWN;
  else if (request->deadline <= now)
    *reason = REASON_DEADLINE;
  if (*reason != REASON_NONE)
    return GATE_REFUSE;
  if (gate_has_room (gate, now))
    {
      take_slot (gate);
      return GATE_RUN;
    }
  *reason = check_wait (gate, &waiter, now);
  if (*reason == REASON_NONE && queue_is_full (gate, &waiter))
    *reason = REASON_OVERLOAD;
  if (*reason != REASON_NONE)
    return GATE_REFUSE;
  enqueue (gate, &waiter);
  return GATE_WAIT;
}

/* Free a slot.  */
void
gate_release (struct gate *gate)
{
  g_assert (gate->busy > 0);
  gate->busy--;
}

/* Give a free slot to the first request in the queue and put that request into
   EXCHANGE.  Return FALSE if no slot is free or the queue is empty.  */
gboolean
gate_next (struct gate *gate, gint64 now, struct handle *exchange)
{
  if (gate->waiting->len == 0 || gate->busy >= usable_slots (gate, now))
    return FALSE;
  *exchange = g_array_index (gate->waiting, struct gate_waiter, 0).exchange;
  g_array_remove_index (gate->waiting, 0);
  take_slot (gate);
  return TRUE;
}

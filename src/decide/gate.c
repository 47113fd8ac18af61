#include "decide/gate.h"

#include <string.h>

#define RETRY_MSEC_MIN 50u /* shortest advice when to try again */

/* Of the time that a request has to spare until it is due, it may be expected
   to wait for this share: run times spread around their mean.  */
#define WAIT_PERCENT 50

/* Set up a gate whose server has not announced itself.  */
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

/* Release what GATE holds.  */
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

/* Put WAITER where it belongs in the queue.  */
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

/* The server came up with SLOTS.  One that merely says so again stays as warm
   as it is.  */
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

/* The server, which tells how cold it is by itself, runs SLOTS requests at
   once; LIMIT may wait.  */
void
gate_set_slots (struct gate *gate, guint32 slots, guint32 limit)
{
  gate->slots = slots;
  gate->limit = limit;
}

/* The server reported BUSY slots at MEASURED.  Reports lag, so the slots in
   use since the report before last count as those that the gate gave.  */
void
gate_on_load (struct gate *gate, guint32 busy, gint64 measured)
{
  guint32 given = MAX (gate->peak, gate->peak_before);

  server_load_on_report (&gate->load, busy, given, measured);
  gate->peak_before = gate->peak;
  gate->peak = gate->busy;
}

/* A request ran for USEC to its end.  */
void
gate_on_done (struct gate *gate, gint64 usec)
{
  pace_on_done (&gate->pace, usec);
  server_load_on_done (&gate->load, gate->slots);
}

/* The server refused a request for want of slots.  */
void
gate_on_shed (struct gate *gate, gint64 now)
{
  pace_on_shed (&gate->pace, gate->slots, now);
  server_load_on_shed (&gate->load);
}

/* How many slots may be in use at NOW.  */
static guint32
slots_at (struct gate *gate, gint64 now)
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
  return gate->busy < slots_at (gate, now) && gate->waiting->len == 0;
}

/* When a request that was refused may find a slot, in milliseconds.  */
guint32
gate_retry_msec (struct gate *gate, gint64 now)
{
  gint64 wait
      = pace_wait (&gate->pace, gate->waiting->len, slots_at (gate, now));

  return MAX ((guint32)(wait / USEC_PER_MSEC), RETRY_MSEC_MIN);
}

/* Take a slot.  */
static void
take_slot (struct gate *gate)
{
  gate->busy++;
  gate->peak = MAX (gate->peak, gate->busy);
}

/* What is to come of WAITER in the queue.  */
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
      = pace_wait (&gate->pace, forecast.ahead, slots_at (gate, now));
  return forecast;
}

/* Why WAITER is not to wait behind those that run before it, or REASON_NONE.
   Where more is asked for than the server can do, a queue of requests that end
   late would make all that follow late as well.  One request may wait all the
   same, so that the server has no idle slots.  */
static enum reason
futile (struct gate *gate, const struct gate_waiter *waiter, gint64 now)
{
  struct gate_forecast coming = forecast (gate, waiter, now);
  gint64 spare = waiter->due - now - coming.run_usec;

  if (now + coming.wait_usec + coming.run_usec > waiter->deadline)
    return REASON_DEADLINE;
  if (coming.ahead > 0 && waiter->due < waiter->deadline
      && coming.wait_usec > spare * WAIT_PERCENT / 100)
    return REASON_OVERLOAD;
  return REASON_NONE;
}

/* Tell whether there is no place for WAITER in the queue: it is full of others
   that run before it.  */
static gboolean
queue_is_full (const struct gate *gate, const struct gate_waiter *waiter)
{
  return gate->limit == 0
         || (gate->waiting->len >= gate->limit
             && !runs_before (
                 waiter, &g_array_index (gate->waiting, struct gate_waiter,
                                         gate->waiting->len - 1)));
}

/* REQUEST as it would stand in the queue at NOW.  */
static struct gate_waiter
waiter_of (const struct gate *gate, struct handle exchange,
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

/* What is to come of REQUEST if it joins the queue at NOW.  */
struct gate_forecast
gate_forecast (struct gate *gate, const struct request *request, gint64 now)
{
  struct gate_waiter waiter = waiter_of (gate, HANDLE_NONE, request, now);

  return forecast (gate, &waiter, now);
}

/* Give REQUEST a slot, let it wait, or refuse it for REASON.  */
enum gate_verdict
gate_admit (struct gate *gate, struct handle exchange,
            const struct request *request, gint64 now, enum reason *reason)
{
  struct gate_waiter waiter = waiter_of (gate, exchange, request, now);

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
  *reason = futile (gate, &waiter, now);
  if (*reason == REASON_NONE && queue_is_full (gate, &waiter))
    *reason = REASON_OVERLOAD;
  if (*reason != REASON_NONE)
    return GATE_REFUSE;
  enqueue (gate, &waiter);
  return GATE_WAIT;
}

/* Give back a slot.  */
void
gate_release (struct gate *gate)
{
  g_assert (gate->busy > 0);
  gate->busy--;
}

/* Give a free slot to the first request in the queue.  Return FALSE if there
   is no slot or no request.  */
gboolean
gate_next (struct gate *gate, gint64 now, struct handle *exchange)
{
  if (gate->waiting->len == 0 || gate->busy >= slots_at (gate, now))
    return FALSE;
  *exchange = g_array_index (gate->waiting, struct gate_waiter, 0).exchange;
  g_array_remove_index (gate->waiting, 0);
  take_slot (gate);
  return TRUE;
}

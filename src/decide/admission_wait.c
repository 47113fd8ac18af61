#include "decide/admission_parts.h"

/* How long requests wait in the queue, and which of them will not complete. */

/* A start that a limit allows is noticed at most this long after it is due,
   with the next tick.  */
#define START_DELAY_USEC ((gint64)30000)

/* Return how many thousandths of a slot are left for WAITER by what was
   admitted of the classes that go before it.  */
static gint64
free_milli (const struct admission *admission,
            const struct admission_waiter *waiter, guint32 slots)
{
  return (gint64)slots * 1000
         - work_rate_before_milli (&admission->work_rate,
                                   admission_class (waiter));
}

/* Return the run time to count for what runs now until a slot is free; 0 if
   one is free.  The queue is examined before the slot that has become free is
   given to it.  */
static gint64
next_slot_usec (const struct admission *admission, guint32 slots, gint64 now)
{
  gint64 since_start_usec
      = admission->last_start_at != 0 ? now - admission->last_start_at : 0;

  if (admission->busy_slots < slots)
    return 0;
  return wait_rule_next_slot_usec (admission->limiter.mean_run_usec, slots,
                                   since_start_usec);
}

/* Return the place of WAITER in the queue at NOW, and put the number of
   requests before it into AHEAD.  */
static struct wait_place
find_place (struct admission *admission, const struct admission_waiter *waiter,
            gint64 now, guint32 *ahead)
{
  guint32 slots = admission_usable_slots (admission, now);
  struct wait_place place
      = { .ahead_usec = next_slot_usec (admission, slots, now),
          .run_usec = waiter->run_usec };
  guint i;

  *ahead = 0;
  for (i = 0; i < admission->queue->len; i++)
    {
      const struct admission_waiter *other
          = &g_array_index (admission->queue, struct admission_waiter, i);
      if (admission_runs_before (waiter, other))
        continue;
      (*ahead)++;
      place.ahead_usec += other->run_usec;
    }
  work_rate_fade (&admission->work_rate, now);
  place.free_milli = free_milli (admission, waiter, slots);
  return place;
}

/* Estimate how long WAITER waits and runs if it enters the queue at NOW.  */
struct admission_forecast
admission_forecast_waiter (struct admission *admission,
                           const struct admission_waiter *waiter, gint64 now)
{
  struct admission_forecast forecast = { .run_usec = waiter->run_usec };
  struct wait_place place
      = find_place (admission, waiter, now, &forecast.requests_ahead);

  forecast.free_milli = place.free_milli;
  forecast.wait_usec = MAX (
      wait_rule_wait_usec (&place),
      admission_rate_wait_usec (admission, forecast.requests_ahead, now));
  return forecast;
}

/* Return whether WAITER, behind AHEAD others, starts within its longest wait
   under the rates that the server takes.  */
gboolean
admission_starts_in_time (const struct admission *admission,
                          const struct admission_waiter *waiter, guint32 ahead,
                          gint64 now)
{
  gint64 wait = admission_rate_wait_usec (admission, ahead, now);

  return wait == 0 || now + wait + START_DELAY_USEC <= waiter->wait_until;
}

/* Return why WAITER must not enter the queue, or REASON_NONE.  A request that
   cannot meet its target there enters behind those that can.  It is refused if
   it is not expected to complete: because of what is ahead of it, or because
   what goes before it arrives at a rate that leaves too little capacity.  The
   wait under a rate that the server takes is certain, so a request that would
   not start in time is refused at once.  */
enum reason
admission_check_wait (struct admission *admission,
                      struct admission_waiter *waiter, gint64 now)
{
  guint32 slots = admission_usable_slots (admission, now);
  guint32 ahead;
  struct wait_place place = find_place (admission, waiter, now, &ahead);

  if (waiter->due_at < waiter->deadline
      && now + wait_rule_wait_usec (&place) > waiter->start_by)
    {
      waiter->is_late = TRUE;
      place = find_place (admission, waiter, now, &ahead);
    }
  if (!wait_rule_completes (&place, waiter->deadline - now))
    {
      place.free_milli = (gint64)slots * 1000;
      return wait_rule_completes (&place, waiter->deadline - now)
                 ? REASON_OVERLOAD
                 : REASON_DEADLINE;
    }
  if (!admission_starts_in_time (admission, waiter, ahead, now))
    return warmup_is_cold (&admission->warmup, now) ? REASON_WARMING_UP
                                                    : REASON_OVERLOAD;
  return REASON_NONE;
}

/* Remove the last request from the queue that is not expected to complete any
   more, and put it into EXCHANGE: it has been overtaken, the server has become
   slower, or it would not start within its longest wait under the rates that
   the server takes.  Return FALSE if there is none.  */
gboolean
admission_evict_late (struct admission *admission, gint64 now,
                      struct handle *exchange)
{
  guint32 slots = admission_usable_slots (admission, now);
  gint64 ahead_usec = next_slot_usec (admission, slots, now);
  guint late = G_MAXUINT;
  guint i;

  if (slots == 0)
    return FALSE;
  work_rate_fade (&admission->work_rate, now);
  for (i = 0; i < admission->queue->len; i++)
    {
      const struct admission_waiter *waiter
          = &g_array_index (admission->queue, struct admission_waiter, i);
      struct wait_place place
          = { .ahead_usec = ahead_usec,
              .free_milli = free_milli (admission, waiter, slots),
              .run_usec = waiter->run_usec };
      if (!wait_rule_completes (&place, waiter->deadline - now)
          || !admission_starts_in_time (admission, waiter, i, now))
        late = i;
      ahead_usec += waiter->run_usec;
    }
  if (late == G_MAXUINT)
    return FALSE;
  *exchange = g_array_index (admission->queue, struct admission_waiter, late)
                  .exchange;
  g_array_remove_index (admission->queue, late);
  return TRUE;
}

#include "decide/limiter.h"

#define WARMUP_DIVISOR                                                        \
  4 /* a server that has just started gets a quarter of its slots */
#define AVERAGE_SHIFT 3 /* a run counts an eighth in the average */
#define SLOT_RELEASE_USEC                                                     \
  ((gint64)250000) /* one withheld slot is given back per interval */

/* Handle the start of the server, which then warms up.  */
void
limiter_on_up (struct limiter *limiter, gint64 now)
{
  limiter->warmup_until = now + LIMITER_WARMUP_USEC;
  limiter->mean_run_usec = 0;
  limiter->withheld_slots = 0;
}

/* Handle a request that ran to completion in USEC.  */
void
limiter_on_done (struct limiter *limiter, gint64 usec)
{
  if (limiter->mean_run_usec == 0)
    limiter->mean_run_usec = MAX (usec, 1);
  else
    limiter->mean_run_usec
        += (usec - limiter->mean_run_usec) / (1 << AVERAGE_SHIFT);
}

/* Handle a request that the server refused because its SLOTS were used up:
   withhold one slot.  */
void
limiter_on_shed (struct limiter *limiter, guint32 slots, gint64 now)
{
  if (slots > 1)
    limiter->withheld_slots++;
  limiter->next_release_at = now + SLOT_RELEASE_USEC;
}

/* Return the slots, of SLOTS, that a server may use while it warms up until
   WARMUP_UNTIL.  The number grows linearly.  */
static guint32
warmup_slots (gint64 warmup_until, guint32 slots, gint64 now)
{
  gint64 remaining = warmup_until - now;
  gint64 withheld;

  if (remaining <= 0)
    return slots;
  withheld = (gint64)slots * (WARMUP_DIVISOR - 1)
             * MIN (remaining, LIMITER_WARMUP_USEC)
             / (WARMUP_DIVISOR * LIMITER_WARMUP_USEC);
  return slots - (guint32)withheld;
}

/* Return the number of slots, of SLOTS, that the server may use at NOW: at
   least one, if it has any.  */
guint32
limiter_slots (struct limiter *limiter, guint32 slots, gint64 now)
{
  guint32 allowed = warmup_slots (limiter->warmup_until, slots, now);

  while (limiter->withheld_slots > 0 && now >= limiter->next_release_at)
    {
      limiter->withheld_slots--;
      limiter->next_release_at += SLOT_RELEASE_USEC;
    }
  if (allowed == 0)
    return 0;
  return allowed - MIN (limiter->withheld_slots, allowed - 1);
}

/* Return how long a request waits for a slot behind AHEAD others, in
   microseconds, while SLOTS run at once.  Return 0 if that is not known.  */
gint64
limiter_wait_usec (const struct limiter *limiter, guint32 ahead, guint32 slots)
{
  return slots == 0 ? 0 : limiter->mean_run_usec * (ahead + 1) / slots;
}

#include "decide/limiter.h"

#define WARMUP_DIVISOR 4                   /* a cold server gets a quarter */
#define AVERAGE_SHIFT 3                    /* a run counts for an eighth */
#define SLOT_RELEASE_USEC ((gint64)250000) /* slots held back come back */

/* The server came up, and is cold.  */
void
limiter_on_up (struct limiter *limiter, gint64 now)
{
  limiter->warmup_until = now + LIMITER_WARMUP_USEC;
  limiter->mean_run_usec = 0;
  limiter->withheld_slots = 0;
}

/* A request ran for USEC to its end.  */
void
limiter_on_done (struct limiter *limiter, gint64 usec)
{
  if (limiter->mean_run_usec == 0)
    limiter->mean_run_usec = MAX (usec, 1);
  else
    limiter->mean_run_usec
        += (usec - limiter->mean_run_usec) / (1 << AVERAGE_SHIFT);
}

/* The server, which was given SLOTS at once, refused a request for want of
   slots.  */
void
limiter_on_shed (struct limiter *limiter, guint32 slots, gint64 now)
{
  if (slots > 1)
    limiter->withheld_slots++;
  limiter->next_release_at = now + SLOT_RELEASE_USEC;
}

/* The share of SLOTS that a server gets that is cold until WARM_AT.  */
static guint32
cold_slots (gint64 warm_at, guint32 slots, gint64 now)
{
  gint64 left = warm_at - now;
  gint64 held;

  if (left <= 0)
    return slots;
  held = (gint64)slots * (WARMUP_DIVISOR - 1) * MIN (left, LIMITER_WARMUP_USEC)
         / (WARMUP_DIVISOR * LIMITER_WARMUP_USEC);
  return slots - (guint32)held;
}

/* How many of its SLOTS the server is given at NOW; at least one, if it has
   any.  */
guint32
limiter_slots (struct limiter *limiter, guint32 slots, gint64 now)
{
  guint32 given = cold_slots (limiter->warmup_until, slots, now);

  while (limiter->withheld_slots > 0 && now >= limiter->next_release_at)
    {
      limiter->withheld_slots--;
      limiter->next_release_at += SLOT_RELEASE_USEC;
    }
  if (given == 0)
    return 0;
  return given - MIN (limiter->withheld_slots, given - 1);
}

/* How long a request waits for a slot behind AHEAD others while SLOTS run; 0
   if that is not known.  */
gint64
limiter_wait_usec (const struct limiter *limiter, guint32 ahead, guint32 slots)
{
  return slots == 0 ? 0 : limiter->mean_run_usec * (ahead + 1) / slots;
}

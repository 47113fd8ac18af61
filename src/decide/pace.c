#include "decide/pace.h"

#define COLD_SHARE                                                            \
  4 /* a server that has just started gets a quarter of its slots */
#define AVERAGE_SHIFT 3 /* a run counts an eighth in the average */
#define RELEASE_EVERY_USEC                                                    \
  ((gint64)250000) /* one withheld slot is given back per interval */

/* Handle the start of the server, which then warms up.  */
void
pace_on_up (struct pace *pace, gint64 now)
{
  pace->warm_at = now + PACE_COLD_USEC;
  pace->run_usec = 0;
  pace->held = 0;
}

/* Handle a request that ran to completion in USEC.  */
void
pace_on_done (struct pace *pace, gint64 usec)
{
  if (pace->run_usec == 0)
    pace->run_usec = MAX (usec, 1);
  else
    pace->run_usec += (usec - pace->run_usec) / (1 << AVERAGE_SHIFT);
}

/* Handle a request that the server refused because its SLOTS were used up:
   withhold one slot.  */
void
pace_on_shed (struct pace *pace, guint32 slots, gint64 now)
{
  if (slots > 1)
    pace->held++;
  pace->release_at = now + RELEASE_EVERY_USEC;
}

/* Return the slots, of SLOTS, that a server may use while it warms up until
   WARMUP_UNTIL.  They grow linearly.  */
static guint32
warmup_slots (gint64 warm_at, guint32 slots, gint64 now)
{
  gint64 remaining = warm_at - now;
  gint64 withheld;

  if (remaining <= 0)
    return slots;
  withheld = (gint64)slots * (COLD_SHARE - 1) * MIN (remaining, PACE_COLD_USEC)
             / (COLD_SHARE * PACE_COLD_USEC);
  return slots - (guint32)withheld;
}

/* Return the number of slots, of SLOTS, that the server may use at NOW: at
   least one, if it has any.  */
guint32
pace_slots (struct pace *pace, guint32 slots, gint64 now)
{
  guint32 allowed = warmup_slots (pace->warm_at, slots, now);

  while (pace->held > 0 && now >= pace->release_at)
    {
      pace->held--;
      pace->release_at += RELEASE_EVERY_USEC;
    }
  if (allowed == 0)
    return 0;
  return allowed - MIN (pace->held, allowed - 1);
}

/* Return how long a request waits for a slot behind AHEAD others, in
   microseconds, while SLOTS run at once.  Return 0 if that is not known.  */
gint64
pace_wait (const struct pace *pace, guint32 ahead, guint32 slots)
{
  return slots == 0 ? 0 : pace->run_usec * (ahead + 1) / slots;
}

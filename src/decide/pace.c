#include "decide/pace.h"

#define COLD_SHARE 4                        /* a cold server gets a quarter */
#define AVERAGE_SHIFT 3                     /* a run counts for an eighth */
#define RELEASE_EVERY_USEC ((gint64)250000) /* slots held back come back */

/* The server came up, and is cold.  */
void
pace_on_up (struct pace *pace, gint64 now)
{
  pace->warm_at = now + PACE_COLD_USEC;
  pace->run_usec = 0;
  pace->held = 0;
}

/* A request ran for USEC to its end.  */
void
pace_on_done (struct pace *pace, gint64 usec)
{
  if (pace->run_usec == 0)
    pace->run_usec = MAX (usec, 1);
  else
    pace->run_usec += (usec - pace->run_usec) / (1 << AVERAGE_SHIFT);
}

/* The server, which was given SLOTS at once, refused a request for want of
   slots.  */
void
pace_on_shed (struct pace *pace, guint32 slots, gint64 now)
{
  if (slots > 1)
    pace->held++;
  pace->release_at = now + RELEASE_EVERY_USEC;
}

/* The share of SLOTS that a server gets that is cold until WARM_AT.  */
static guint32
cold_slots (gint64 warm_at, guint32 slots, gint64 now)
{
  gint64 left = warm_at - now;
  gint64 held;

  if (left <= 0)
    return slots;
  held = (gint64)slots * (COLD_SHARE - 1) * MIN (left, PACE_COLD_USEC)
         / (COLD_SHARE * PACE_COLD_USEC);
  return slots - (guint32)held;
}

/* How many of its SLOTS the server is given at NOW; at least one, if it has
   any.  */
guint32
pace_slots (struct pace *pace, guint32 slots, gint64 now)
{
  guint32 given = cold_slots (pace->warm_at, slots, now);

  while (pace->held > 0 && now >= pace->release_at)
    {
      pace->held--;
      pace->release_at += RELEASE_EVERY_USEC;
    }
  if (given == 0)
    return 0;
  return given - MIN (pace->held, given - 1);
}

/* How long a request waits for a slot behind AHEAD others while SLOTS run; 0
   if that is not known.  */
gint64
pace_wait (const struct pace *pace, guint32 ahead, guint32 slots)
{
  return slots == 0 ? 0 : pace->run_usec * (ahead + 1) / slots;
}

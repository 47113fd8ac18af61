#include "fleet/reading_duty.h"

#include "types/limits.h"

/* Return whether some process is known to hold DUTY at NOW.  */
gboolean
reading_duty_is_held (const struct reading_duty *duty, gint64 now)
{
  return duty->reader != 0 && !duty->given_up
         && now - duty->renewed_at < READING_DUTY_USEC;
}

/* Return whether PROCESS is known to hold DUTY at NOW.  */
gboolean
reading_duty_is_held_by (const struct reading_duty *duty, guint64 process,
                         gint64 now)
{
  return duty->reader == process && reading_duty_is_held (duty, now);
}

/* Note since when DUTY is vacant, if it is not held.  */
void
reading_duty_check (struct reading_duty *duty, gboolean is_held, gint64 now)
{
  if (is_held)
    duty->vacant_since = 0;
  else if (duty->vacant_since == 0)
    duty->vacant_since = now;
}

/* Renew DUTY for this process, SELF, whose read number ROUND the store has
   answered, or take it.  */
void
reading_duty_renew (struct reading_duty *duty, guint64 self, guint32 round,
                    gint64 now)
{
  if (!reading_duty_is_held_by (duty, self, now))
    duty->taken_at = now;
  duty->reader = self;
  duty->round = round;
  duty->renewed_at = now;
  duty->given_up = FALSE;
  duty->vacant_since = 0;
}

/* Give DUTY up if this process, SELF, holds it.  Return whether it did.  */
gboolean
reading_duty_give_up (struct reading_duty *duty, guint64 self)
{
  if (duty->reader != self || duty->given_up)
    return FALSE;
  duty->given_up = TRUE;
  return TRUE;
}

/* Take over what CLAIM, whose read ended at READ_AT, says of another holder
   than the known one.  Of two that hold the duty the one with the lower
   process number keeps it; the other one, SELF, leaves it to that one only if
   it has read since.  */
static void
hear_other (struct reading_duty *duty, const struct reading_claim *claim,
            gint64 read_at, guint64 self, gint64 now)
{
  gboolean is_held = !claim->given_up && now - read_at < READING_DUTY_USEC;

  if (reading_duty_is_held (duty, now))
    {
      if (!is_held)
        return;
      if (duty->reader == self
              ? claim->reader > self || read_at <= duty->taken_at
              : read_at <= duty->renewed_at)
        return;
    }
  else if (!is_held && read_at <= duty->renewed_at)
    return;
  duty->reader = claim->reader;
  duty->round = claim->round;
  duty->renewed_at = read_at;
  duty->given_up = claim->given_up;
}

/* Process CLAIM, which another node told the process SELF.  Return whether it
   brought the word that the holder has given DUTY up.  */
gboolean
reading_duty_hear (struct reading_duty *duty,
                   const struct reading_claim *claim, guint64 self, gint64 now)
{
  gint64 read_at = now - (gint64)claim->age_msec * USEC_PER_MSEC;
  gboolean was_given_up = duty->given_up;

  if (claim->reader == 0 || claim->reader == self)
    return FALSE;
  if (claim->reader != duty->reader)
    {
      hear_other (duty, claim, read_at, self, now);
      return FALSE;
    }
  if (claim->round < duty->round)
    return FALSE;
  if (claim->round > duty->round)
    {
      duty->round = claim->round;
      duty->renewed_at = read_at;
      duty->given_up = claim->given_up;
    }
  duty->given_up = duty->given_up || claim->given_up;
  return duty->given_up && !was_given_up;
}

/* Return DUTY as it is told to other nodes.  */
struct reading_claim
reading_duty_claim (const struct reading_duty *duty, gint64 now)
{
  struct reading_claim claim = { .reader = duty->reader,
                                 .round = duty->round,
                                 .given_up = duty->given_up };

  claim.age_msec = (guint32)(MAX (0, now - duty->renewed_at) / USEC_PER_MSEC);
  return claim;
}

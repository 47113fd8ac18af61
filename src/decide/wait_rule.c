#include "decide/wait_rule.h"

/* Run time that a request must have left before its target latency, in percent
   of the expected run time.  Run times vary: with the tail of test_wait_rule
   four runs in five take less than this.  At 100 percent, requests that then
   ended late took the place of others that would have met their targets.  */
#define TARGET_RUN_PERCENT 150

/* Return how long the request at PLACE waits for a slot, in microseconds.  */
gint64
wait_rule_wait_usec (const struct wait_place *place)
{
  if (place->free_milli <= 0)
    return WAIT_RULE_NEVER_USEC;
  return MIN (place->ahead_usec * 1000 / place->free_milli,
              WAIT_RULE_NEVER_USEC);
}

/* Return when a request that runs for RUN_USEC has to start to meet its target
   latency, which passes at DUE_AT.  */
gint64
wait_rule_start_by (gint64 due_at, gint64 run_usec)
{
  return due_at - run_usec * TARGET_RUN_PERCENT / 100;
}

/* Return the run time to count for what runs in the SLOTS, all in use, until
   one of them becomes free.  That is one run, since the slots become free one
   after the other; but if none has become free for SINCE_START_USEC, which
   shows a server that is slow or does not answer, as long a time again.  */
gint64
wait_rule_next_slot_usec (gint64 mean_run_usec, guint32 slots,
                          gint64 since_start_usec)
{
  return MAX (mean_run_usec, since_start_usec * (gint64)slots);
}

/* Return whether the request at PLACE is expected to end before its deadline,
   which passes in LEFT_USEC.  */
gboolean
wait_rule_completes (const struct wait_place *place, gint64 left_usec)
{
  return wait_rule_wait_usec (place) + place->run_usec <= left_usec;
}

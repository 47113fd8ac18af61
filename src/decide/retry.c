#include "decide/retry.h"

#include "decide/timing.h"

/* Credit, in thousandths of a retry.  */
#define EARN_MILLI 100u         /* gained by each request of a caller */
#define SPEND_MILLI 1000u       /* spent by each retry */
#define BUDGET_MILLI_MAX 20000u /* most credit that is kept */

/* Longest delay before a retry.  */
#define RETRY_DELAY_MAX_USEC ((gint64)800000)

/* Set up a full budget.  */
void
retry_budget_init (struct retry_budget *budget)
{
  budget->milli_left = BUDGET_MILLI_MAX;
}

/* Add the credit for a request of a caller.  */
void
retry_budget_earn (struct retry_budget *budget)
{
  budget->milli_left = MIN (budget->milli_left + EARN_MILLI, BUDGET_MILLI_MAX);
}

/* Spend the credit for one retry.  Return FALSE if there is too little
   left.  */
gboolean
retry_budget_spend (struct retry_budget *budget)
{
  if (budget->milli_left < SPEND_MILLI)
    return FALSE;
  budget->milli_left -= SPEND_MILLI;
  return TRUE;
}

/* Tell whether an attempt that was not run for REASON may succeed at another
   time or node.  */
static gboolean
is_retryable (enum reason reason)
{
  switch (reason)
    {
    case REASON_NOT_OWNER:
    case REASON_LEASE_EXPIRED:
    case REASON_PEER_LOST:
    case REASON_DRAINING:
    case REASON_SERVER_DOWN:
      return TRUE;
    default:
      return FALSE;
    }
}

/* Tell whether only the node that issued the stamp of REQUEST may run it.  */
static gboolean
is_bound_to_node (const struct request *request)
{
  return request->key[0] == '\0' && request->run_class == RUN_ONCE
         && request->stamp.time_usec != 0;
}

/* Tell whether REQUEST may be sent again after an attempt that ended as EVENT
   says.  A run-once request is sent again only if it provably has not run.  A
   request that was lost together with its server may have crashed it, and is
   left to the caller.  */
gboolean
retry_is_safe (const struct request *request,
               const struct event_attempt_ended *event)
{
  if (!event->body_replayable || request->forwarded)
    return FALSE;
  switch (event->outcome)
    {
    case OUTCOME_DONE:
      return FALSE;
    case OUTCOME_NOT_RUN:
      if (event->reason == REASON_DRAINING && is_bound_to_node (request))
        return FALSE;
      return is_retryable (event->reason);
    case OUTCOME_UNKNOWN:
      return request->run_class == RUN_IDEMPOTENT
             && event->reason != REASON_SERVER_DOWN;
    }
  return FALSE;
}

/* Tell whether a retry after EVENT is charged to the budget.  An attempt that
   reached no node has put no load on any.  */
gboolean
retry_is_charged (const struct event_attempt_ended *event)
{
  return event->outcome != OUTCOME_NOT_RUN
         || event->reason != REASON_PEER_LOST;
}

/* Return the delay in microseconds after ATTEMPTS attempts: twice as long each
   time, shortened by up to half by the random number RANDOM, so that retries
   spread out.  */
gint64
retry_delay (guint32 attempts, guint64 random)
{
  gint64 wait = MIN (RETRY_DELAY_USEC << attempts, RETRY_DELAY_MAX_USEC);

  return wait - (gint64)(random % (guint64)(wait / 2));
}

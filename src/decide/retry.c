#include "decide/retry.h"

#include "decide/timing.h"

#define EARN_MILLI 100u                /* earned by each request of a caller */
#define SPEND_MILLI 1000u              /* spent by each retry */
#define BUDGET_MILLI_MAX 20000u        /* saved at most */
#define WAIT_MAX_USEC ((gint64)800000) /* longest wait before a retry */

/* Set up a budget that is full.  */
void
retry_budget_init (struct retry_budget *budget)
{
  budget->milli_left = BUDGET_MILLI_MAX;
}

/* A caller's request arrived.  */
void
retry_budget_earn (struct retry_budget *budget)
{
  budget->milli_left = MIN (budget->milli_left + EARN_MILLI, BUDGET_MILLI_MAX);
}

/* Pay for a retry; FALSE if too little is left.  */
gboolean
retry_budget_spend (struct retry_budget *budget)
{
  if (budget->milli_left < SPEND_MILLI)
    return FALSE;
  budget->milli_left -= SPEND_MILLI;
  return TRUE;
}

/* Tell whether an attempt that was not run for REASON may go better at another
   time or place.  */
static gboolean
may_pass (enum reason reason)
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

/* Tell whether REQUEST belongs to the one node that gave out its stamp.  */
static gboolean
is_bound_to_node (const struct request *request)
{
  return request->key[0] == '\0' && request->run_class == RUN_ONCE
         && request->stamp.time_usec != 0;
}

/* Tell whether REQUEST may be sent again after an attempt that ended as EVENT
   says.  What must run once is sent again only on proof that it has not run.
   What was lost with its server may have crashed it, and is left to the
   caller.  */
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
      return may_pass (event->reason);
    case OUTCOME_UNKNOWN:
      return request->run_class == RUN_IDEMPOTENT
             && event->reason != REASON_SERVER_DOWN;
    }
  return FALSE;
}

/* Tell whether a retry after EVENT is paid from the budget.  An attempt that
   reached no node has cost no other node anything.  */
gboolean
retry_is_charged (const struct event_attempt_ended *event)
{
  return event->outcome != OUTCOME_NOT_RUN
         || event->reason != REASON_PEER_LOST;
}

/* How long to wait after TRIES attempts: twice as long each time, less up to
   a half by DRAW, a random number, so that retries spread out.  */
gint64
retry_delay (guint32 tries, guint64 draw)
{
  gint64 wait = MIN (RETRY_AFTER_USEC << tries, WAIT_MAX_USEC);

  return wait - (gint64)(draw % (guint64)(wait / 2));
}

#ifndef BAMBOOTALLY_RETRY_H
#define BAMBOOTALLY_RETRY_H

#include "types/event.h"

/* Decides whether and when a request is sent again.  Retries of a node are
   limited to a share of its callers' requests.  A request that another node
   forwarded is never sent again, because that node retries it.  */

#define RETRY_ATTEMPTS_MAX 6u /* attempts from one node for one request */

/* Token bucket for retries.  */
struct retry_budget
{
  guint32 milli_left; /* thousandths of a retry that are left */
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_earn (struct retry_budget *budget);
gboolean retry_budget_spend (struct retry_budget *budget);
gboolean retry_is_safe (const struct request *request,
                        const struct event_attempt_ended *event);
gboolean retry_is_charged (const struct event_attempt_ended *event);
gint64 retry_delay (guint32 attempts, guint64 random);

#endif

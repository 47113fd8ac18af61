#ifndef BAMBOOTALLY_RETRY_H
#define BAMBOOTALLY_RETRY_H

#include "types/event.h"

/* When a request may be sent again, and how often.  Retries of all requests
   of a node together are a share of its callers' traffic; a request that
   another node passed on is never sent again, since that node does so.  */

#define RETRY_ATTEMPTS_MAX 6u /* attempts from one node for one request */

/* Retries that may be made, in thousandths.  */
struct retry_budget
{
  guint32 milli_left; /* what is left */
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_earn (struct retry_budget *budget);
gboolean retry_budget_spend (struct retry_budget *budget);
gboolean retry_is_safe (const struct request *request,
                        const struct event_attempt_ended *event);
gboolean retry_is_charged (const struct event_attempt_ended *event);
gint64 retry_delay (guint32 tries, guint64 draw);

#endif

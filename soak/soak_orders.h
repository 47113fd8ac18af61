#ifndef SOAK_ORDERS_H
#define SOAK_ORDERS_H

#include "edge/http_server.h"

/* The keys of a simulated server that is granted them by calls.  One call in
   SOAK_LATE_ONE_IN has no answer and is carried out seconds later.  */

#define SOAK_LATE_ONE_IN 12 /* calls, of which one is carried out late */

struct soak_orders
{
  gint64 *held_until;   /* by key: end of the hold, monotonic usec */
  gint64 *timely_until; /* the same without calls that were late */
  guint64 *seen_fence;  /* by key: highest fence seen */
  guint call_count;     /* calls so far */
  guint process;        /* number of the simulated process; an earlier one's
                           late calls are lost with it */
};

void soak_orders_init (struct soak_orders *orders);
void soak_orders_clear (struct soak_orders *orders);
void soak_orders_reset (struct soak_orders *orders);
gboolean soak_orders_handle (struct soak_orders *orders,
                             struct http_server *http_server,
                             const struct http_server_event *event,
                             const GByteArray *body);
gboolean soak_orders_overlap (const struct soak_orders *a,
                              const struct soak_orders *b, gint64 now,
                              guint32 *key);

#endif

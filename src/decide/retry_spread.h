#ifndef BAMBOOTALLY_RETRY_SPREAD_H
#define BAMBOOTALLY_RETRY_SPREAD_H

#include "types/request.h"

/* When refused callers are told to return.

   Load pattern: a burst of 1.7 times the capacity for 3 s.  Callers that are
   all told the time until the next free slot return together, find the server
   full again, and each refusal costs processor time of the node.  They are
   told times one after the other at the rate at which there is capacity for
   them, those of higher priority before others.  A caller does not wait longer
   than a third of the time that it has left.  */

struct retry_spread
{
  gint64 next_at[PRIORITY_COUNT]; /* when the next refused caller of a priority
                                     is to return, monotonic usec */
  guint32 fallback_count; /* callers for which no capacity was in sight */
};

/* A refused caller.  */
struct retry_query
{
  enum priority priority; /* priority of its request */
  gint64 wait_usec;       /* time until there may be capacity for it */
  gint64 interval_usec;   /* time in which there is capacity for one more */
  gint64 limit_usec;      /* longest time that it waits before it returns */
};

gint64 retry_spread_limit_usec (gint64 left_usec);
gint64 retry_spread_next_usec (struct retry_spread *spread,
                               const struct retry_query *query, gint64 now);

#endif

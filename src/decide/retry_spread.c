#include "decide/retry_spread.h"

/* Callers wait for at most one part in this many of the time that they have
   left.  */
#define LIMIT_DIVISOR 3

/* Parts of 1024 that the golden ratio adds to the place of the next caller:
   any number of successive places are evenly spread.  */
#define GOLDEN_PARTS 633u
#define PARTS 1024u

/* Return the longest time that a caller with LEFT_USEC left waits before it
   returns.  */
gint64
retry_spread_limit_usec (gint64 left_usec)
{
  return MAX (left_usec, 0) / LIMIT_DIVISOR;
}

/* Return the time for a caller for which no capacity is in sight within
   LIMIT_USEC: in the later half of that time, higher priority first, spread
   evenly.  */
static gint64
fallback_usec (struct retry_spread *spread, enum priority priority,
               gint64 limit_usec)
{
  guint32 part = ++spread->fallback_count * GOLDEN_PARTS % PARTS;
  gint64 step_usec = limit_usec / 2 / PRIORITY_COUNT;

  return limit_usec - limit_usec / 2 + (gint64)priority * step_usec
         + step_usec * part / PARTS;
}

/* Return after how long the caller of QUERY, which is refused at NOW, is to
   return, in microseconds.  The time between two callers counts up to the
   longest that one waits: there may be more capacity by then.  */
gint64
retry_spread_next_usec (struct retry_spread *spread,
                        const struct retry_query *query, gint64 now)
{
  gint64 at = MAX (now + query->wait_usec, spread->next_at[query->priority]);
  gint64 interval_usec = MIN (query->interval_usec, query->limit_usec);
  guint i;

  if (at - now > query->limit_usec)
    return fallback_usec (spread, query->priority, query->limit_usec);
  for (i = query->priority; i < PRIORITY_COUNT; i++)
    spread->next_at[i] = MAX (spread->next_at[i], at) + interval_usec;
  return at - now;
}

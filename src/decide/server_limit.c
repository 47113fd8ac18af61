#include "decide/server_limit.h"

#include "types/limits.h"

/* A request may start this long before its evenly spaced time, so that a burst
   that is within the limit need not wait.  */
#define BURST_USEC ((gint64)250000)

/* Longest time between two starts, also under a limit of 0: only an answer
   shows that the limit was raised.  */
#define INTERVAL_MAX_USEC ((gint64)2000000)

/* A limit is dropped once answers without it have come for this long, since a
   single one may be spoiled.  */
#define UNNAMED_USEC ((gint64)500000)

/* Refused callers are told to return within this time after the wait that a
   request would have, one after the other.  */
#define RETRY_SPREAD_USEC ((gint64)1000000)

/* Return the time between two starts under LIMIT, in microseconds.  */
static gint64
interval_usec (const struct server_limit *limit)
{
  if (limit->milli_per_s == 0)
    return INTERVAL_MAX_USEC;
  return MIN ((gint64)(1000 * (guint64)USEC_PER_SEC / limit->milli_per_s),
              INTERVAL_MAX_USEC);
}

/* Process NOTICE, of an answer that came at NOW.  A limit that cannot be read
   leaves the last one in force.  Return whether the limit changed.  */
gboolean
server_limit_on_notice (struct server_limit *limit,
                        const struct server_notice *notice, gint64 now)
{
  struct server_limit before = *limit;

  switch (notice->limit)
    {
    case LIMIT_NOTICE_NONE:
      if (limit->unnamed_since == 0)
        limit->unnamed_since = now;
      if (now - limit->unnamed_since >= UNNAMED_USEC)
        limit->is_named = FALSE;
      break;
    case LIMIT_NOTICE_NAMED:
      limit->is_named = TRUE;
      limit->unnamed_since = 0;
      limit->milli_per_s = notice->limit_milli_per_s;
      if (!before.is_named)
        limit->next_start_at = now + BURST_USEC;
      else
        limit->next_start_at = MIN (limit->next_start_at,
                                    now + BURST_USEC + interval_usec (limit));
      break;
    case LIMIT_NOTICE_UNREADABLE:
      break;
    }
  return before.is_named != limit->is_named
         || (limit->is_named && before.milli_per_s != limit->milli_per_s);
}

/* Return how many of the SLOTS of the server its limit keeps busy, at least
   one, if a request runs for RUN_USEC microseconds on average.  */
guint32
server_limit_slots (const struct server_limit *limit, guint32 slots,
                    gint64 run_usec)
{
  guint64 busy_millionths = limit->milli_per_s * (guint64)run_usec / 1000;

  if (!limit->is_named || run_usec == 0 || slots == 0)
    return slots;
  return CLAMP (
      (guint32)MIN ((busy_millionths + USEC_PER_SEC - 1) / USEC_PER_SEC,
                    slots),
      1, slots);
}

/* Return the demand of RATE requests a second in thousandths of the limit, 0
   without a limit.  */
guint32
server_limit_demand (const struct server_limit *limit, guint32 rate)
{
  if (!limit->is_named)
    return 0;
  return (guint32)MIN (
      (guint64)rate * 1000 * 1000 / MAX (limit->milli_per_s, 1), G_MAXINT32);
}

/* Return how long a request waits for its start behind AHEAD others, in
   microseconds.  */
gint64
server_limit_wait_usec (const struct server_limit *limit, guint32 ahead,
                        gint64 now)
{
  if (!limit->is_named)
    return 0;
  return MAX (0, limit->next_start_at + ahead * interval_usec (limit)
                     - BURST_USEC - now);
}

/* Count a request that starts at NOW.  */
void
server_limit_take (struct server_limit *limit, gint64 now)
{
  if (limit->is_named)
    limit->next_start_at
        = MAX (limit->next_start_at, now) + interval_usec (limit);
}

/* Take back the last start, of a request that was not sent after all.  */
void
server_limit_give_back (struct server_limit *limit)
{
  if (limit->is_named)
    limit->next_start_at -= interval_usec (limit);
}

/* Return after how long the caller of a refused request is to return, in
   microseconds, if AHEAD requests wait.  Refused callers are given times one
   after the other, since only as many can be served; 0 without a limit.  */
gint64
server_limit_retry_usec (struct server_limit *limit, guint32 ahead, gint64 now)
{
  gint64 earliest = now + server_limit_wait_usec (limit, ahead + 1, now);
  gint64 at = MAX (limit->next_retry_at, earliest);

  if (!limit->is_named)
    return 0;
  if (at > earliest + RETRY_SPREAD_USEC)
    at = earliest;
  limit->next_retry_at = at + interval_usec (limit);
  return at - now;
}

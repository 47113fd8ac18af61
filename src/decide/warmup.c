#include "decide/warmup.h"

#include "types/limits.h"

#include <string.h>

/* Window of the rate.  The part above a second covers the time that requests
   spend on their way to the server, which differs between them.  */
#define WINDOW_USEC ((gint64)1050000)

/* Run time to expect at a server that has none yet.  */
#define RUN_DEFAULT_USEC ((gint64)100000)

/* Callers that were refused are told to return within this time after the wait
   that a request would have, one after the other.  */
#define RETRY_SPREAD_USEC ((gint64)1000000)

/* Initialize WARMUP in a process that starts at NOW.  An earlier process may
   have started as many requests as the rate allows just before, so that all of
   the ring counts as started now.  */
void
warmup_init (struct warmup *warmup, gint64 now)
{
  guint i;

  memset (warmup, 0, sizeof *warmup);
  for (i = 0; i < WARMUP_STARTS_MAX; i++)
    warmup->starts[i] = now;
}

/* Let MILLI_PER_S thousandths of a request start in a second while the server
   is cold; 0: there is no limit.  */
void
warmup_set_rate (struct warmup *warmup, guint32 milli_per_s)
{
  warmup->per_second = milli_per_s == 0
                           ? 0
                           : CLAMP (milli_per_s / 1000, 1, WARMUP_STARTS_MAX);
}

/* Process a heartbeat by which the server is cold for WARMUP_USEC more.  */
void
warmup_on_heartbeat (struct warmup *warmup, gint64 warmup_usec, gint64 now)
{
  warmup->cold_latest = 0;
  warmup->cold_until = warmup_usec > 0 ? now + warmup_usec : 0;
}

/* Presume that the server is cold until its next heartbeat, but no longer than
   UNTIL.  */
void
warmup_presume_cold (struct warmup *warmup, gint64 until)
{
  warmup->cold_latest = until;
}

/* Return when the server is warm at the latest.  */
static gint64
warm_at (const struct warmup *warmup)
{
  return MAX (warmup->cold_until, warmup->cold_latest);
}

/* Return whether the server is cold at NOW and its service has a rate for
   that.  */
gboolean
warmup_is_cold (const struct warmup *warmup, gint64 now)
{
  return warmup->per_second > 0 && now < warm_at (warmup);
}

/* Return how long the server stays cold, in microseconds; 0 if it is warm.  */
gint64
warmup_left_usec (const struct warmup *warmup, gint64 now)
{
  return warmup_is_cold (warmup, now) ? warm_at (warmup) - now : 0;
}

/* Return how many of the SLOTS of the server its rate keeps busy, at least
   one, if a request runs for RUN_USEC microseconds on average; 0: not
   known.  */
guint32
warmup_slots (const struct warmup *warmup, guint32 slots, gint64 run_usec,
              gint64 now)
{
  gint64 busy_usec = (gint64)warmup->per_second
                     * (run_usec > 0 ? run_usec : RUN_DEFAULT_USEC);

  if (!warmup_is_cold (warmup, now) || slots == 0)
    return slots;
  return (guint32)CLAMP ((busy_usec + USEC_PER_SEC - 1) / USEC_PER_SEC, 1,
                         (gint64)slots);
}

/* Return the demand of RATE requests a second in thousandths of what the
   server takes while it is cold, 0 if it is warm.  */
guint32
warmup_demand (const struct warmup *warmup, guint32 rate, gint64 now)
{
  return warmup_is_cold (warmup, now) ? rate * 1000 / warmup->per_second : 0;
}

/* Return how long a request waits for its start behind AHEAD others, in
   microseconds.  */
gint64
warmup_wait_usec (const struct warmup *warmup, guint32 ahead, gint64 now)
{
  gint64 last;
  gint64 at;
  guint32 back;

  if (!warmup_is_cold (warmup, now))
    return 0;
  back = warmup->per_second - 1 - ahead % warmup->per_second;
  last = warmup->starts[(warmup->last_start + WARMUP_STARTS_MAX - back)
                        % WARMUP_STARTS_MAX];
  at = MAX (now, last + WINDOW_USEC)
       + ahead / warmup->per_second * WINDOW_USEC;
  return MAX (0, MIN (at, warm_at (warmup)) - now);
}

/* Return after how long the caller of a refused request is to return, in
   microseconds, if AHEAD requests wait.  Refused callers are given times one
   after the other, since only as many can be served; 0 if the server is
   warm.  */
gint64
warmup_retry_usec (struct warmup *warmup, guint32 ahead, gint64 now)
{
  gint64 earliest;
  gint64 at;

  if (!warmup_is_cold (warmup, now))
    return 0;
  earliest = now + warmup_wait_usec (warmup, ahead + 1, now);
  at = MAX (warmup->next_retry_at, earliest);
  if (at > earliest + RETRY_SPREAD_USEC)
    at = earliest;
  warmup->next_retry_at = at + USEC_PER_SEC / warmup->per_second;
  return at - now;
}

/* Count a request that starts at NOW.  Requests to a warm server count too:
   it may turn out to be cold within the same second.  */
void
warmup_take (struct warmup *warmup, gint64 now)
{
  warmup->last_start = (warmup->last_start + 1) % WARMUP_STARTS_MAX;
  warmup->starts[warmup->last_start] = now;
}

/* Take back the last start, of a request that was not sent after all.  */
void
warmup_give_back (struct warmup *warmup)
{
  guint32 previous
      = (warmup->last_start + WARMUP_STARTS_MAX - 1) % WARMUP_STARTS_MAX;

  warmup->starts[warmup->last_start] = warmup->starts[previous];
  warmup->last_start = previous;
}

#include "serve/run_times.h"

/* A run counts for one part in so many of the mean.  Fewer follow a server
   that turns slow sooner; more tell a slow server from a few long runs.  */
#define MEAN_RUNS 32u

/* An attempt counts for one part in so many of the share that fails.  */
#define JUDGED_RUNS 16u

/* Add a run of USEC to MEAN.  */
static void
add (struct run_mean *mean, gint64 usec)
{
  if (mean->count < MEAN_RUNS)
    mean->count++;
  mean->usec += (usec - mean->usec) / (gint64)mean->count;
  mean->usec = MAX (mean->usec, 1);
}

/* An attempt came to a GOOD end or not.  */
void
run_times_judge (struct run_times *times, gboolean good)
{
  gint32 sign = good ? 0 : 1000;

  times->failing
      = (guint32)((gint32)times->failing
                  + (sign - (gint32)times->failing) / (gint32)JUDGED_RUNS);
}

/* A request by ROUTE ran for USEC to its end.  */
void
run_times_add (struct run_times *times, guint32 route, gint64 usec)
{
  guint32 i = 0;

  add (&times->all, usec);
  while (i < times->routes && times->route[i].route != route)
    i++;
  if (i == RUN_TIMES_ROUTES_MAX)
    return;
  if (i == times->routes)
    times->route[times->routes++].route = route;
  add (&times->route[i], usec);
}

/* How long a request runs, in microseconds; 0 until enough have run to tell:
   the first to end are the short ones.  */
gint64
run_times_mean (const struct run_times *times)
{
  return times->all.count >= MEAN_RUNS / 2 ? times->all.usec : 0;
}

/* The mean over the routes of how long their requests run, in microseconds,
   however often each comes: servers of a service can be compared by it though
   one had more of the short ones of late.  0 until enough have run.  */
gint64
run_times_even (const struct run_times *times)
{
  gint64 total = 0;
  gint64 known = 0;
  guint32 i;

  for (i = 0; i < times->routes; i++)
    if (times->route[i].count >= MEAN_RUNS / 2)
      {
        total += times->route[i].usec;
        known++;
      }
  return known > 0 ? total / known : run_times_mean (times);
}

/* How long a request by ROUTE runs, in microseconds; 0 if that is not
   known.  */
gint64
run_times_of (const struct run_times *times, guint32 route)
{
  guint32 i;

  for (i = 0; i < times->routes; i++)
    if (times->route[i].route == route)
      return times->route[i].usec;
  return times->all.usec;
}

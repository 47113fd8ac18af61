#include "serve/run_times.h"

/* A run counts for one part in so many of the mean.  Fewer follow a server
   that turns slow sooner; more tell a slow server from a few long runs.  */
#define MEAN_RUNS 32u

/* A route that has not run often is waited for if one run in so many is by
   it.  */
#define ROUTE_PART 16u

/* The counts of runs are halved at so many, so that they tell of late ones. */
#define RUNS_SEEN_MAX 1024u

/* So many runs tell which routes there are: the first to end are the short
   ones.  */
#define RUNS_TELL_ROUTES 32u

/* An attempt counts for one part in so many of the share that fails.  */
#define JUDGED_RUNS 16u

/* Add a run of USEC to MEAN.  */
static void
add (struct run_mean *mean, gint64 usec)
{
  if (mean->sample_count < MEAN_RUNS)
    mean->sample_count++;
  mean->recent_count++;
  mean->mean_usec += (usec - mean->mean_usec) / (gint64)mean->sample_count;
  mean->mean_usec = MAX (mean->mean_usec, 1);
}

/* An attempt came to a GOOD end or not.  */
void
run_times_on_attempt (struct run_times *times, gboolean good)
{
  gint32 sign = good ? 0 : 1000;

  times->failed_permille = (guint32)((gint32)times->failed_permille
                                     + (sign - (gint32)times->failed_permille)
                                           / (gint32)JUDGED_RUNS);
}

/* Halve the counts of runs.  */
static void
halve (struct run_times *times)
{
  guint32 i;

  times->all_routes.recent_count /= 2;
  for (i = 0; i < times->route_count; i++)
    times->route[i].recent_count /= 2;
}

/* The place of a new route: the next one, or that of the route that ran least
   of late.  */
static guint32
place_for_route (struct run_times *times)
{
  guint32 least = 0;
  guint32 i;

  if (times->route_count < RUN_TIMES_ROUTES_MAX)
    return times->route_count++;
  for (i = 1; i < times->route_count; i++)
    if (times->route[i].recent_count < times->route[least].recent_count)
      least = i;
  return least;
}

/* A request by ROUTE ran for USEC to its end.  */
void
run_times_add (struct run_times *times, guint32 route, gint64 usec)
{
  guint32 i = 0;

  if (times->all_routes.recent_count >= RUNS_SEEN_MAX)
    halve (times);
  add (&times->all_routes, usec);
  while (i < times->route_count && times->route[i].route != route)
    i++;
  if (i == times->route_count)
    {
      i = place_for_route (times);
      times->route[i] = (struct run_mean){ .route = route };
    }
  add (&times->route[i], usec);
}

/* How long a request runs, in microseconds; 0 until enough have run to tell:
   the first to end are the short ones.  */
gint64
run_times_mean (const struct run_times *times)
{
  return times->all_routes.sample_count >= MEAN_RUNS / 2
             ? times->all_routes.mean_usec
             : 0;
}

/* The mean over the routes of how long their requests run, in microseconds,
   however often each comes: servers of a service can be compared by it though
   one had more of the short ones of late.  0 until enough have run by each
   route.  */
gint64
run_times_route_average (const struct run_times *times)
{
  gint64 total = 0;
  gint64 counted = 0;
  guint32 i;

  if (times->route_count > 1
      && times->all_routes.recent_count < RUNS_TELL_ROUTES)
    return 0;
  for (i = 0; i < times->route_count; i++)
    {
      const struct run_mean *route = &times->route[i];
      if (route->sample_count < MEAN_RUNS / 2)
        {
          if (route->recent_count * ROUTE_PART
              < times->all_routes.recent_count)
            continue;
          return 0;
        }
      total += route->mean_usec;
      counted++;
    }
  return counted > 0 ? total / counted : run_times_mean (times);
}

/* How long a request by ROUTE runs, in microseconds; 0 if that is not
   known.  */
gint64
run_times_of_route (const struct run_times *times, guint32 route)
{
  guint32 i;

  for (i = 0; i < times->route_count; i++)
    if (times->route[i].route == route)
      return times->route[i].mean_usec;
  return times->all_routes.mean_usec;
}

#include "serve/run_times.h"

/* Window of the moving average of run times, in runs.  A smaller window
   follows a server that slows down sooner; a larger one tells a slow server
   from a few long runs.  */
#define MEAN_WINDOW 32u

/* A route that has too few runs for an average of its own delays the route
   average only if at least one recent run in this many is on that route.  */
#define ROUTE_MIN_SHARE 16u

/* The recent counts are halved when their sum reaches this limit, so that they
   follow the current mix of routes.  */
#define RECENT_RUNS_MAX 1024u

/* Runs after which all routes in use are assumed to have been seen.  The first
   requests to complete are the short ones.  */
#define ROUTES_KNOWN_RUNS 32u

/* Window of the moving average of the failure share, in attempts.  */
#define FAILING_WINDOW 16u

/* Add a run of USEC microseconds to MEAN.  */
static void
add_run (struct run_mean *mean, gint64 usec)
{
  if (mean->sample_count < MEAN_WINDOW)
    mean->sample_count++;
  mean->recent_count++;
  mean->mean_usec += (usec - mean->mean_usec) / (gint64)mean->sample_count;
  mean->mean_usec = MAX (mean->mean_usec, 1);
}

/* Record whether an attempt SUCCEEDED in the moving share of failures.  */
void
run_times_on_attempt (struct run_times *times, gboolean succeeded)
{
  gint32 failure_permille = succeeded ? 0 : 1000;

  times->failed_permille
      = (guint32)((gint32)times->failed_permille
                  + (failure_permille - (gint32)times->failed_permille)
                        / (gint32)FAILING_WINDOW);
}

/* Halve the recent counts of all routes.  */
static void
halve_recent_counts (struct run_times *times)
{
  guint32 i;

  times->all_routes.recent_count /= 2;
  for (i = 0; i < times->route_count; i++)
    times->route[i].recent_count /= 2;
}

/* Return the index for a new route: the next free one, or that of the route
   with the fewest recent runs.  */
static guint32
allocate_route (struct run_times *times)
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

/* Record a completed run of a request on ROUTE that took USEC
   microseconds.  */
void
run_times_add (struct run_times *times, guint32 route, gint64 usec)
{
  guint32 i = 0;

  if (times->all_routes.recent_count >= RECENT_RUNS_MAX)
    halve_recent_counts (times);
  add_run (&times->all_routes, usec);
  while (i < times->route_count && times->route[i].route != route)
    i++;
  if (i == times->route_count)
    {
      i = allocate_route (times);
      times->route[i] = (struct run_mean){ .route = route };
    }
  add_run (&times->route[i], usec);
}

/* Let runs that start from now on be expected to take PERMILLE thousandths of
   the average.  */
void
run_times_set_slowdown (struct run_times *times, guint32 permille)
{
  times->slow_permille = permille;
}

/* Return how long a run that starts now is expected to take if it takes USEC
   on average.  */
static gint64
expected_now (const struct run_times *times, gint64 usec)
{
  return times->slow_permille > 0 ? usec * times->slow_permille / 1000 : usec;
}

/* Return the average run time over all routes in microseconds, or 0 until
   enough runs have completed: the first to complete are the short ones.  */
gint64
run_times_mean (const struct run_times *times)
{
  return times->all_routes.sample_count >= MEAN_WINDOW / 2
             ? times->all_routes.mean_usec
             : 0;
}

/* Return the unweighted mean of the average run times of the routes, in
   microseconds.  Servers of one service stay comparable when one of them has
   recently served more of the short requests.  Return 0 until each route in
   regular use has enough runs.  */
gint64
run_times_route_average (const struct run_times *times)
{
  gint64 total = 0;
  gint64 route_means = 0;
  guint32 i;

  if (times->route_count > 1
      && times->all_routes.recent_count < ROUTES_KNOWN_RUNS)
    return 0;
  for (i = 0; i < times->route_count; i++)
    {
      const struct run_mean *route = &times->route[i];
      if (route->sample_count < MEAN_WINDOW / 2)
        {
          if (route->recent_count * ROUTE_MIN_SHARE
              < times->all_routes.recent_count)
            continue;
          return 0;
        }
      total += route->mean_usec;
      route_means++;
    }
  return route_means > 0 ? total / route_means : run_times_mean (times);
}

/* Return what run_times_route_average would be if all runs took as much longer
   or shorter as those that start now.  */
gint64
run_times_route_average_now (const struct run_times *times)
{
  return expected_now (times, run_times_route_average (times));
}

/* Return how long a run on ROUTE that starts now is expected to take, in
   microseconds: by the average of the route, or by that over all routes if
   ROUTE has none; 0 if no run has completed.  */
gint64
run_times_of_route (const struct run_times *times, guint32 route)
{
  guint32 i;

  for (i = 0; i < times->route_count; i++)
    if (times->route[i].route == route)
      return expected_now (times, times->route[i].mean_usec);
  return expected_now (times, times->all_routes.mean_usec);
}

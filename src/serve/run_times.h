#ifndef BAMBOOTALLY_RUN_TIMES_H
#define BAMBOOTALLY_RUN_TIMES_H

#include <glib.h>

/* Moving averages of the run times of requests at the local backend server:
   one for each route, since a server may run both short calls and long
   reports, and one over all routes.  A machine that is slow now makes the run
   times that are expected longer than these averages.  */

#define RUN_TIMES_ROUTES_MAX 32u /* routes with an average of their own */

struct run_mean
{
  guint32 route; /* number of the route; 0 in the average over all routes */
  guint32 sample_count; /* runs in the average, at most its window */
  guint32 recent_count; /* recent runs; halved periodically */
  gint64 mean_usec;     /* average run time in microseconds, 0: not known */
};

struct run_times
{
  struct run_mean all_routes;                  /* average over all routes */
  struct run_mean route[RUN_TIMES_ROUTES_MAX]; /* averages of single routes */
  guint32 route_count;                         /* used entries of `route' */
  guint32 slow_permille;   /* factor for the expected time of a run that starts
                              now, in thousandths of the mean; 0: 1000 */
  guint32 failed_permille; /* moving share of attempts that failed, in
                               thousandths */
};

void run_times_on_attempt (struct run_times *times, gboolean succeeded);
void run_times_add (struct run_times *times, guint32 route, gint64 usec);
void run_times_set_slowdown (struct run_times *times, guint32 permille);
gint64 run_times_mean (const struct run_times *times);
gint64 run_times_route_average (const struct run_times *times);
gint64 run_times_route_average_now (const struct run_times *times);
gint64 run_times_of_route (const struct run_times *times, guint32 route);

#endif

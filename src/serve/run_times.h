#ifndef BAMBOOTALLY_RUN_TIMES_H
#define BAMBOOTALLY_RUN_TIMES_H

#include <glib.h>

/* How long requests run at the backend server here: a mean for each route,
   since one server may run short calls and long reports, and one for all.  */

#define RUN_TIMES_ROUTES_MAX 32u /* routes that are told apart */

struct run_mean
{
  guint32 route;        /* number of the route, 0: all others */
  guint32 sample_count; /* runs seen, no higher than matters */
  guint32 recent_count; /* runs seen, halved now and then with all others */
  gint64 mean_usec;     /* mean, 0: not known */
};

struct run_times
{
  struct run_mean all_routes;                  /* of all requests */
  struct run_mean route[RUN_TIMES_ROUTES_MAX]; /* of each route */
  guint32 route_count;                         /* how many */
  guint32 failed_permille; /* thousandths of the last attempts that did not
                      come to a good end */
};

void run_times_on_attempt (struct run_times *times, gboolean good);
void run_times_add (struct run_times *times, guint32 route, gint64 usec);
gint64 run_times_mean (const struct run_times *times);
gint64 run_times_route_average (const struct run_times *times);
gint64 run_times_of_route (const struct run_times *times, guint32 route);

#endif

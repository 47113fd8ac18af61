#include "serve/run_times.h"

#include "tests/suite.h"

#define MSEC ((gint64)1000)
#define SHORT_ROUTE 1u /* route of short requests */
#define LONG_ROUTE 2u  /* route of long requests */

/* Add COUNT runs of USEC on ROUTE.  */
static void
add_runs (struct run_times *times, guint32 route, gint64 usec, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    run_times_add (times, route, usec);
}

/* A server that recently served mostly short requests looks faster than others
   if all runs count alike, and would get ever more requests.  The average over
   routes does not depend on the mix.  */
static void
test_short_runs_look_fast (void)
{
  struct run_times mostly_short = { 0 };
  struct run_times mostly_long = { 0 };

  add_runs (&mostly_short, LONG_ROUTE, 170 * MSEC, 32);
  add_runs (&mostly_short, SHORT_ROUTE, 30 * MSEC, 400);
  add_runs (&mostly_long, SHORT_ROUTE, 30 * MSEC, 32);
  add_runs (&mostly_long, LONG_ROUTE, 170 * MSEC, 400);
  CU_ASSERT_TRUE (run_times_mean (&mostly_short) < 31 * MSEC);
  CU_ASSERT_EQUAL (run_times_route_average (&mostly_short), 100 * MSEC);
  CU_ASSERT_EQUAL (run_times_route_average (&mostly_long), 100 * MSEC);
}

/* A slow server is visible in the average.  A few runs are not enough for an
   average.  */
static void
test_slow_server_is_visible (void)
{
  struct run_times slow = { 0 };
  struct run_times few = { 0 };

  add_runs (&slow, SHORT_ROUTE, 60 * MSEC, 40);
  add_runs (&slow, LONG_ROUTE, 340 * MSEC, 40);
  CU_ASSERT_EQUAL (run_times_route_average (&slow), 200 * MSEC);
  add_runs (&few, SHORT_ROUTE, 30 * MSEC, 5);
  CU_ASSERT_EQUAL (run_times_route_average (&few), 0);
  CU_ASSERT_EQUAL (run_times_of_route (&few, SHORT_ROUTE), 30 * MSEC);
}

/* A server that has just started has completed only short requests.  It
   reports no average until enough long requests have completed.  */
static void
test_first_completed_are_short (void)
{
  struct run_times times = { 0 };

  add_runs (&times, SHORT_ROUTE, 30 * MSEC, 40);
  add_runs (&times, LONG_ROUTE, 170 * MSEC, 4);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 0);
  add_runs (&times, SHORT_ROUTE, 30 * MSEC, 40);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 30 * MSEC);
  add_runs (&times, LONG_ROUTE, 170 * MSEC, 4);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 0);
  add_runs (&times, LONG_ROUTE, 170 * MSEC, 8);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 100 * MSEC);
}

/* A server that gets almost only short requests for a long time looks fast if
   its long runs are forgotten.  The known long runs must still count.  */
static void
test_long_runs_are_forgotten (void)
{
  struct run_times times = { 0 };

  add_runs (&times, LONG_ROUTE, 170 * MSEC, 32);
  add_runs (&times, SHORT_ROUTE, 30 * MSEC, 20000);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 100 * MSEC);
}

/* A new route replaces the route with the fewest recent runs.  */
static void
test_new_route_replaces_old (void)
{
  struct run_times times = { 0 };
  guint i;

  add_runs (&times, LONG_ROUTE, 170 * MSEC, 40);
  for (i = 0; i < RUN_TIMES_ROUTES_MAX; i++)
    add_runs (&times, 100 + i, 10 * MSEC, 1);
  add_runs (&times, SHORT_ROUTE, 30 * MSEC, 40);
  CU_ASSERT_EQUAL (times.route_count, RUN_TIMES_ROUTES_MAX);
  CU_ASSERT_EQUAL (run_times_of_route (&times, SHORT_ROUTE), 30 * MSEC);
  CU_ASSERT_EQUAL (run_times_of_route (&times, LONG_ROUTE), 170 * MSEC);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "short runs look fast", test_short_runs_look_fast },
          { "slow server is visible", test_slow_server_is_visible },
          { "first completed are short", test_first_completed_are_short },
          { "long runs are forgotten", test_long_runs_are_forgotten },
          { "new route replaces old", test_new_route_replaces_old },
          CU_TEST_INFO_NULL };

  return suite_run ("run_times", tests);
}

#include "serve/run_times.h"

#include "tests/suite.h"

#define MSEC ((gint64)1000)
#define CALL 1u /* route of short requests */
#define SALE 2u /* route of long ones */

/* Add COUNT runs of USEC by ROUTE.  */
static void
add (struct run_times *times, guint32 route, gint64 usec, guint count)
{
  guint i;

  for (i = 0; i < count; i++)
    run_times_add (times, route, usec);
}

/* A server that had mostly short requests of late is not taken for a fast
   one: it would be sent ever more.  */
static void
test_short_runs_look_like_speed (void)
{
  struct run_times mostly_short = { 0 };
  struct run_times mostly_long = { 0 };

  add (&mostly_short, SALE, 170 * MSEC, 32);
  add (&mostly_short, CALL, 30 * MSEC, 400);
  add (&mostly_long, CALL, 30 * MSEC, 32);
  add (&mostly_long, SALE, 170 * MSEC, 400);
  CU_ASSERT_TRUE (run_times_mean (&mostly_short) < 31 * MSEC);
  CU_ASSERT_EQUAL (run_times_route_average (&mostly_short), 100 * MSEC);
  CU_ASSERT_EQUAL (run_times_route_average (&mostly_long), 100 * MSEC);
}

/* A slow server shows, and a few runs tell nothing.  */
static void
test_slow_server_shows (void)
{
  struct run_times slow = { 0 };
  struct run_times few = { 0 };

  add (&slow, CALL, 60 * MSEC, 40);
  add (&slow, SALE, 340 * MSEC, 40);
  CU_ASSERT_EQUAL (run_times_route_average (&slow), 200 * MSEC);
  add (&few, CALL, 30 * MSEC, 5);
  CU_ASSERT_EQUAL (run_times_route_average (&few), 0);
  CU_ASSERT_EQUAL (run_times_of_route (&few, CALL), 30 * MSEC);
}

/* A server that has just started has ended only short requests: it tells
   nothing until it has run enough of the long ones.  */
static void
test_first_to_end_are_short (void)
{
  struct run_times times = { 0 };

  add (&times, CALL, 30 * MSEC, 40);
  add (&times, SALE, 170 * MSEC, 4);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 0);
  add (&times, CALL, 30 * MSEC, 40);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 30 * MSEC);
  add (&times, SALE, 170 * MSEC, 4);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 0);
  add (&times, SALE, 170 * MSEC, 8);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 100 * MSEC);
}

/* A server that is given hardly anything but short requests for long does not
   come to look fast: what it knows of the long ones still counts.  */
static void
test_long_runs_are_forgotten (void)
{
  struct run_times times = { 0 };

  add (&times, SALE, 170 * MSEC, 32);
  add (&times, CALL, 30 * MSEC, 20000);
  CU_ASSERT_EQUAL (run_times_route_average (&times), 100 * MSEC);
}

/* New routes take the places of those that ran least of late.  */
static void
test_new_routes_find_place (void)
{
  struct run_times times = { 0 };
  guint i;

  add (&times, SALE, 170 * MSEC, 40);
  for (i = 0; i < RUN_TIMES_ROUTES_MAX; i++)
    add (&times, 100 + i, 10 * MSEC, 1);
  add (&times, CALL, 30 * MSEC, 40);
  CU_ASSERT_EQUAL (times.route_count, RUN_TIMES_ROUTES_MAX);
  CU_ASSERT_EQUAL (run_times_of_route (&times, CALL), 30 * MSEC);
  CU_ASSERT_EQUAL (run_times_of_route (&times, SALE), 170 * MSEC);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "short runs look like speed", test_short_runs_look_like_speed },
          { "slow server shows", test_slow_server_shows },
          { "first to end are short", test_first_to_end_are_short },
          { "long runs are forgotten", test_long_runs_are_forgotten },
          { "new routes find place", test_new_routes_find_place },
          CU_TEST_INFO_NULL };

  return suite_run ("run_times", tests);
}

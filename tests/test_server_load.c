#include "decide/server_load.h"
#include "tests/mesh_fixture.h"

/* Report PERCENT every 10 ms from *NOW on, COUNT times.  */
static void
report (struct server_load *load, guint32 percent, guint count, gint64 *now)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      *now += 10 * MSEC;
      server_load_on_slowdown (load, percent, *now);
    }
}

/* A machine that becomes three times as slow is seen within a few runs, long
   before the mean run time shows it.  Once the mean shows it, it must not
   count twice.  */
static void
test_slow_machine (void)
{
  struct server_load load;
  gint64 now = START;

  server_load_init (&load);
  report (&load, 100, 100, &now);
  CU_ASSERT_EQUAL (server_load_slowdown (&load, now), 1000);
  report (&load, 300, 1, &now);
  CU_ASSERT_TRUE (server_load_slowdown (&load, now) < 1300);
  report (&load, 300, 12, &now);
  CU_ASSERT_TRUE (server_load_slowdown (&load, now) > 1400);
  report (&load, 300, 200, &now);
  CU_ASSERT_TRUE (server_load_slowdown (&load, now) < 1050);
}

/* A figure that jumps with each response must not make the forecast jump.  */
static void
test_jumping_figure (void)
{
  struct server_load load;
  gint64 now = START;
  guint i;

  server_load_init (&load);
  for (i = 0; i < 100; i++)
    report (&load, i % 2 == 0 ? 50 : 150, 1, &now);
  for (i = 0; i < 20; i++)
    {
      report (&load, i % 2 == 0 ? 50 : 150, 1, &now);
      CU_ASSERT_TRUE (server_load_slowdown (&load, now) > 900);
      CU_ASSERT_TRUE (server_load_slowdown (&load, now) < 1100);
    }
}

/* A server that does not name the figure, and one whose last report is old,
   are forecast by their mean run times.  */
static void
test_no_figure (void)
{
  struct server_load load;
  gint64 now = START;

  server_load_init (&load);
  report (&load, 0, 10, &now);
  CU_ASSERT_EQUAL (server_load_slowdown (&load, now), 1000);
  report (&load, 100, 50, &now);
  report (&load, 400, 10, &now);
  CU_ASSERT_TRUE (server_load_slowdown (&load, now) > 1300);
  CU_ASSERT_EQUAL (server_load_slowdown (&load, now + 1000 * MSEC), 1000);
}

/* Pass a report of PERCENT to the node of FIXTURE.  */
static void
report_to_node (struct fixture *fixture, guint32 percent)
{
  struct event event = { .kind = EVENT_SERVER_LOAD };

  fixture->now += 10 * MSEC;
  event.u.server_load.slow_percent = percent;
  event.u.server_load.measured_at = fixture->now;
  feed_event (fixture, &event);
}

/* Other nodes must see a machine that is slow now in the run time that its
   node reports, and so must the forecast of the node itself.  */
static void
test_node_reports_slow_machine (void)
{
  struct fixture *fixture = fixture_new ();
  struct run_times *times = &fixture->mesh.run_times;
  guint i;

  for (i = 0; i < 64; i++)
    {
      run_times_add (times, 1, 100 * MSEC);
      report_to_node (fixture, 0);
    }
  CU_ASSERT_EQUAL (
      mesh_load_report (&fixture->mesh, fixture->now).mean_run_usec,
      100 * MSEC);
  for (i = 0; i < 64; i++)
    report_to_node (fixture, 100);
  for (i = 0; i < 12; i++)
    report_to_node (fixture, 300);
  CU_ASSERT_TRUE (mesh_load_report (&fixture->mesh, fixture->now).mean_run_usec
                  > 140 * MSEC);
  CU_ASSERT_TRUE (run_times_of_route (times, 1) > 140 * MSEC);
  CU_ASSERT_EQUAL (run_times_route_average (times), 100 * MSEC);
  advance (fixture, 1000 * MSEC);
  CU_ASSERT_EQUAL (run_times_of_route (times, 1), 100 * MSEC);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "slow machine", test_slow_machine },
          { "jumping figure", test_jumping_figure },
          { "no figure", test_no_figure },
          { "node reports slow machine", test_node_reports_slow_machine },
          CU_TEST_INFO_NULL };

  return suite_run ("server_load", tests);
}

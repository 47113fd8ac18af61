#include "tests/fleet.h"
#include "tests/suite.h"

/* Timeout of the service's requests.  */
#define REQUEST_USEC ((gint64)2000000)

static struct fleet fleet; /* the nodes under test */

/* A slice that a node got by records which a snapshot skipped is delayed by
   the longest request; a slice that it had before is not.  */
static void
test_after_snapshot (void)
{
  guint64 epoch;

  fleet_init (&fleet, 3, TRUE);
  epoch = fleet_slice (&fleet, 0)->epoch;
  CU_ASSERT_TRUE (fleet_serve_right (&fleet, 0, 0).may_serve);
  guard_after_snapshot (&fleet.cores[0], epoch + 1, fleet.now);
  CU_ASSERT_TRUE (fleet_serve_right (&fleet, 0, 0).may_serve);
  guard_after_snapshot (&fleet.cores[0], epoch, fleet.now);
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  fleet_run (&fleet, REQUEST_USEC - FLEET_STEP_USEC);
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  fleet_run (&fleet, FLEET_STEP_USEC);
  CU_ASSERT_TRUE (fleet_serve_right (&fleet, 0, 0).may_serve);
  fleet_clear (&fleet);
}

/* After a restart of a node whose server does not check fences, its slices are
   delayed at the successor, even though the planner would move the slices in
   the meantime.  */
static void
test_restart_unchecked (void)
{
  gint64 joined;

  fleet_init (&fleet, 6, FALSE);
  fleet_restart (&fleet, 0);
  while (
      view_incarnation (&fleet.cores[1].view, fleet_slice (&fleet, 1)->owner)
      != 2)
    fleet_run (&fleet, FLEET_STEP_USEC);
  joined = fleet.now;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 2 * REQUEST_USEC), 1);
  CU_ASSERT_TRUE (fleet.now - joined >= REQUEST_USEC - FLEET_STEP_USEC);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* The successor, whose server checks fences, is removed too during the delay:
   the next one still waits for requests of the first owner.  Node 4 keeps a
   majority of its witnesses when nodes 1 and 2 are gone.  */
static void
test_second_loss (void)
{
  struct view *view = &fleet.cores[3].view;
  const struct view_slice *slice;
  gint64 joined;

  fleet_init (&fleet, 9, FALSE);
  fleet_append (&fleet, make_slice (RECORD_ASSIGN, 1, 0, 1, 2, 4));
  fleet_run (&fleet, 100000);
  slice = view_slice_at (view_find_service (view, MAKE_SERVICE), 1);
  view_node_at (view, view_find_node (view, 2))->join.checks_fences = TRUE;
  fleet_restart (&fleet, 0);
  while (view_incarnation (view, slice->owner) != 2)
    fleet_run (&fleet, FLEET_STEP_USEC);
  joined = fleet.now;
  fleet_append (&fleet, make_removed (2, 0, REMOVAL_CERTIFICATE));
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 1, 2 * REQUEST_USEC), 3);
  CU_ASSERT_TRUE (fleet.now - joined >= REQUEST_USEC - FLEET_STEP_USEC);
  CU_ASSERT_TRUE (fleet.now - joined <= REQUEST_USEC + 100000);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "after snapshot", test_after_snapshot },
          { "restart unchecked", test_restart_unchecked },
          { "second loss", test_second_loss },
          CU_TEST_INFO_NULL };

  return suite_run ("serve_guard", tests);
}

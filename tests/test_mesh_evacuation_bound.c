#include "tests/evacuation_fixture.h"

/* A deployment whose settings do not name the time in which an evacuation is
   in force.  */

/* Set up a node without that setting.  */
static struct fixture *
unset_fixture (void)
{
  struct fixture *fixture = evacuation_fixture ();

  fixture->mesh.settings.evacuate_usec = 0;
  return fixture;
}

/* Guards against a changed behaviour of deployments that do not evacuate data
   centres: a process that stood still refused requests that its server can
   run.  */
static void
test_stood_still (void)
{
  struct fixture *fixture = unset_fixture ();

  advance (fixture, 2 * BOUND_USEC);
  forward_to_node (fixture, "");
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NONE);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  fixture_free (fixture);
}

/* Guards against keys that nobody serves as soon as their data centre is
   evacuated: without the setting the time is that of docs/CONFIG.md.  */
static void
test_default (void)
{
  struct fixture *fixture = unset_fixture ();

  give_keys (fixture, OWN_SERVICE, "a");
  confirm_proposals (fixture);
  send_heartbeat (fixture, 2);
  read_evacuation (fixture, OWN_ZONE, 4, FALSE);
  CU_ASSERT_EQUAL (
      evacuations_serve_until (&fixture->mesh.evacuations, OWN_ZONE),
      fixture->now + SERVED_USEC);
  end_with_status (fixture, forward_to_node (fixture, "7"), 200);
  CU_ASSERT_EQUAL (refusal (fixture), REASON_NONE);
  fixture_free (fixture);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "stood still", test_stood_still },
                                 { "default", test_default },
                                 CU_TEST_INFO_NULL };

  return suite_run ("mesh_evacuation_bound", tests);
}

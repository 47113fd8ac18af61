#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* By which configuration a process that has just started serves.  */

/* Give the node a configuration that another node has, with a route "/own/".
   The other node's copy was compared with the store AGE_USEC ago.  */
static void
fetch_config (struct fixture *fixture, gint64 age_usec)
{
  add_services (fixture);
  freshness_confirm (&fixture->mesh.freshness[MESH_TOPIC_CONFIG],
                     fixture->now - age_usec, 77);
  advance (fixture, 25 * MSEC);
}

/* Return the reason of the answer to a request, REASON_NONE if it ran.  */
static enum reason
answer_of_request (struct fixture *fixture)
{
  const struct action *action;

  send_request (fixture, "/own/x");
  action = find_action (fixture, ACTION_ANSWER);
  return action != NULL ? action->u.answer.reason : REASON_NONE;
}

/* Return a node that has just started and was told a configuration that was
   compared with the store 8 s ago; it does not serve by it yet.  */
static struct fixture *
start_with_old_config (void)
{
  struct fixture *fixture = fixture_start ();

  add_other_member (fixture);
  send_heartbeat (fixture, 1);
  confirm_proposals (fixture);
  fetch_config (fixture, 8000 * MSEC);
  CU_ASSERT_EQUAL (answer_of_request (fixture), REASON_NO_CONFIG);
  return fixture;
}

/* A process that starts may have had a newer configuration in an earlier life
   than the one that it is told first.  It serves by that one only once a read
   shows that there is no newer one, or if that cannot be had for long.  */
static void
test_older_config (void)
{
  struct fixture *fixture = start_with_old_config ();

  CU_ASSERT_FALSE (mesh_is_ready (&fixture->mesh));
  read_config_end (fixture);
  advance (fixture, 25 * MSEC);
  CU_ASSERT_NOT_EQUAL (answer_of_request (fixture), REASON_NO_CONFIG);
  CU_ASSERT_TRUE (mesh_is_ready (&fixture->mesh));
  advance (fixture, 20000 * MSEC);
  CU_ASSERT_NOT_EQUAL (answer_of_request (fixture), REASON_NO_CONFIG);
  fixture_free (fixture);
}

/* An outage of the store does not keep a process that starts from serving.  */
static void
test_start_in_outage (void)
{
  struct fixture *fixture = start_with_old_config ();

  advance (fixture, 3600 * MSEC);
  CU_ASSERT_NOT_EQUAL (answer_of_request (fixture), REASON_NO_CONFIG);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "older configuration after a start", test_older_config },
          { "start in an outage", test_start_in_outage },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_routing", tests);
}

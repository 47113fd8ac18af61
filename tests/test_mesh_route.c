#include "tests/mesh_fixture.h"

/* What a node answers to a request that no route matches.  */

/* Send a request without a route.  Return the reason of the answer.  */
static enum reason
refusal_of_unknown (struct fixture *fixture)
{
  const struct action *action;

  send_request (fixture, "/unknown/x");
  action = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  return action != NULL ? action->u.answer.reason : REASON_NONE;
}

/* Advance the time by USEC in ticks of 25 ms, with a fresh session.  */
static void
run_ticks_unread (struct fixture *fixture, gint64 usec)
{
  gint64 until = fixture->now + usec;

  while (fixture->now < until)
    {
      freshness_confirm (&fixture->mesh.freshness[MESH_TOPIC_FLEET],
                         fixture->now, 0);
      advance (fixture, 25 * MSEC);
    }
}

/* The same, and at the end a read that shows no newer configuration.  */
static void
run_ticks (struct fixture *fixture, gint64 usec)
{
  run_ticks_unread (fixture, usec);
  read_config_end (fixture);
}

/* A fresh session does not show that the configuration is recent.  */
static void
test_config_unread (void)
{
  struct fixture *fixture = fixture_new ();

  run_ticks (fixture, 1000 * MSEC);
  run_ticks_unread (fixture, 2000 * MSEC);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_RULE);
  run_ticks_unread (fixture, 500 * MSEC);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_CONFIG);
  read_config_end (fixture);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_RULE);
  fixture_free (fixture);
}

/* A node whose ticks come in time knows that a route does not exist.  */
static void
test_in_time (void)
{
  struct fixture *fixture = fixture_new ();

  run_ticks (fixture, 1000 * MSEC);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_RULE);
  fixture_free (fixture);
}

/* A node that lags, or did so seconds ago, may not have read the newest
   configuration.  */
static void
test_lagging (void)
{
  struct fixture *fixture = fixture_new ();

  run_ticks (fixture, 500 * MSEC);
  fixture->now += 400 * MSEC;
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_CONFIG);
  run_ticks (fixture, 1000 * MSEC);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_CONFIG);
  run_ticks (fixture, 3000 * MSEC);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_RULE);
  fixture_free (fixture);
}

/* A node that has heard of a newer configuration than its own does not know
   the routes.  */
static void
test_newer_elsewhere (void)
{
  struct fixture *fixture = fixture_new ();
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.config_version = 2;
  event.u.mesh_call.call = &call;
  run_ticks (fixture, 500 * MSEC);
  feed_event (fixture, &event);
  CU_ASSERT_EQUAL (refusal_of_unknown (fixture), REASON_NO_CONFIG);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "in time", test_in_time },
          { "a node that lags", test_lagging },
          { "newer elsewhere", test_newer_elsewhere },
          { "fresh session, configuration not read", test_config_unread },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_route", tests);
}

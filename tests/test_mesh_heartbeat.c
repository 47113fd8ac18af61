#include "tests/mesh_fixture.h"

/* What a heartbeat is believed about.  */

/* Send a heartbeat with sequence number NUMBER that is like the server's but
   for its SERVICE.  Return the code of the answer.  */
static enum err
send_foreign (struct fixture *fixture, guint64 number, const char *service)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat heartbeat = { .sequence = number, .slots = 1 };
  const struct action *action;

  g_strlcpy (heartbeat.instance.id, "sa", sizeof heartbeat.instance.id);
  g_strlcpy (heartbeat.service, service, sizeof heartbeat.service);
  heartbeat.instance.started_at_msec = 5;
  event.u.heartbeat.heartbeat = &heartbeat;
  feed_event (fixture, &event);
  action = find_action (fixture, ACTION_HEARTBEAT_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  return action != NULL ? action->u.heartbeat_answer.code : ERR_UNAVAILABLE;
}

/* Guards against a wrong service of the caller: a heartbeat that names a
   service of no configuration is refused and changes nothing.  */
static void
test_unknown_service (void)
{
  struct fixture *fixture = fixture_new ();

  CU_ASSERT_EQUAL (send_foreign (fixture, 2, "nobody"), ERR_INVALID);
  CU_ASSERT_STRING_EQUAL (fixture->mesh.settings.service, OWN_SERVICE);
  CU_ASSERT_FALSE (fixture->mesh.proposal.is_pending);
  send_request (fixture, "/own/x");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_EQUAL (send_foreign (fixture, 2, OWN_SERVICE), ERR_NONE);
  CU_ASSERT_EQUAL (fixture->mesh.grant.heartbeat_sequence, 2);
  fixture_free (fixture);
}

/* A service of the configuration may take over the host.  */
static void
test_known_service (void)
{
  struct fixture *fixture = fixture_new ();
  struct event event = { .kind = EVENT_ROUTING };
  struct route_service service = { .name = OTHER_SERVICE };

  event.u.routing.routing = routing_new (2);
  g_array_append_val (event.u.routing.routing->services, service);
  feed_event (fixture, &event);
  CU_ASSERT_EQUAL (send_foreign (fixture, 2, OTHER_SERVICE), ERR_NONE);
  CU_ASSERT_STRING_EQUAL (fixture->mesh.settings.service, OTHER_SERVICE);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "unknown service", test_unknown_service },
                          { "known service", test_known_service },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_heartbeat", tests);
}

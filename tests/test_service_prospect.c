#include "serve/service_prospect.h"
#include "tests/mesh_fixture.h"

/* Requests that the entry node refuses because no server can start them in
   time.  */

/* A server with 6 slots in use, 24 requests waiting and a mean run time of
   140 ms: 25 starts take 583 ms.  */
static const struct load_report full
    = { .running = 6, .waiting = 24, .slots = 6, .mean_run_usec = 140 * MSEC };

/* Return when a server with the report LOAD of the age AGE_MSEC may have a
   slot, in milliseconds.  */
static gint64
slot_after (struct load_report load, gint64 age_msec, gboolean waiting_first)
{
  struct service_prospect prospect;
  struct server_prospect server
      = { .load = &load,
          .age_usec = age_msec < 0 ? -1 : age_msec * MSEC,
          .waiting_first = waiting_first };

  service_prospect_init (&prospect);
  service_prospect_add (&prospect, &server);
  return prospect.earliest_usec / MSEC;
}

/* Guards against refusals that no report justifies: a missing or old report, a
   free slot, an unknown run time, requests that wait but do not go first.  */
static void
test_reports (void)
{
  struct load_report load = full;

  CU_ASSERT_EQUAL (slot_after (full, 0, TRUE), 583);
  CU_ASSERT_EQUAL (slot_after (full, 500, TRUE), 83);
  CU_ASSERT_EQUAL (slot_after (full, 1300, TRUE), 0);
  CU_ASSERT_EQUAL (slot_after (full, -1, TRUE), 0);
  CU_ASSERT_EQUAL (slot_after (full, 0, FALSE), 23);
  load.running = 5;
  CU_ASSERT_EQUAL (slot_after (load, 0, TRUE), 0);
  load = full;
  load.mean_run_usec = 0;
  CU_ASSERT_EQUAL (slot_after (load, 0, TRUE), 0);
  load = full;
  load.failed_permille = 500;
  CU_ASSERT_EQUAL (slot_after (load, 0, TRUE), 291);
  load = full;
  load.slots = 0;
  CU_ASSERT_EQUAL (slot_after (load, 0, TRUE), 0);
}

/* Guards against a refusal while one server of several may have a slot.  */
static void
test_one_free (void)
{
  struct service_prospect prospect;
  struct server_prospect server
      = { .load = &full, .age_usec = 0, .waiting_first = TRUE };
  guint i;

  service_prospect_init (&prospect);
  CU_ASSERT_FALSE (service_prospect_is_hopeless (&prospect, 0));
  for (i = 0; i < 8; i++)
    service_prospect_add (&prospect, &server);
  CU_ASSERT_TRUE (service_prospect_is_hopeless (&prospect, 500 * MSEC));
  CU_ASSERT_FALSE (service_prospect_is_hopeless (&prospect, 600 * MSEC));
  server.age_usec = -1;
  service_prospect_add (&prospect, &server);
  CU_ASSERT_FALSE (service_prospect_is_hopeless (&prospect, 500 * MSEC));
}

/* Send a request for the other service with PRIORITY and LEFT_MSEC to the
   node.  */
static void
send_other (struct fixture *fixture, enum priority priority, gint64 left_msec)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct event routes = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new (fixture->mesh.routing->version + 1);
  struct route_share share = { .service = OTHER_SERVICE, .weight = 1 };
  struct route route = { .host = "h",
                         .path_prefix = "/other/",
                         .priority = priority,
                         .share_count = 1,
                         .shares = &share };

  routing_add_route (routing, &route);
  routes.u.routing.routing = routing;
  feed_event (fixture, &routes);
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.request.deadline = fixture->now + left_msec * MSEC;
  event.u.request.host = "h";
  event.u.request.target = "/other/x";
  feed_event (fixture, &event);
}

/* Guards against requests that are sent to full servers, and against refusals
   of those that go before what waits there.  */
static void
test_entry (void)
{
  struct fixture *fixture = fixture_new ();
  struct peer_state *peer = table_get (
      &fixture->mesh.peers, fleet_state_find (&fixture->mesh.fleet, "b"));
  const struct action *action;

  peer_state_on_load (peer, &full, fixture->now);
  send_other (fixture, PRIORITY_LOW, 500);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_FORWARD));
  action = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    {
      CU_ASSERT_EQUAL (action->u.answer.outcome, OUTCOME_NOT_RUN);
      CU_ASSERT_EQUAL (action->u.answer.reason, REASON_OVERLOAD);
      CU_ASSERT_EQUAL (action->u.answer.retry_after_msec, 583);
    }
  send_other (fixture, PRIORITY_LOW, 700);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  send_other (fixture, PRIORITY_NORMAL, 500);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  peer_state_on_load (peer, &full, fixture->now);
  fixture->now += 200 * MSEC;
  send_other (fixture, PRIORITY_LOW, 500);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "reports", test_reports },
                          { "one server is free", test_one_free },
                          { "refusal at the entry node", test_entry },
                          CU_TEST_INFO_NULL };

  return suite_run ("service_prospect", tests);
}

#include "tests/mesh_fixture.h"

/* A route that divides its requests between two services.  */

#define REQUESTS 200u
#define OWN_WEIGHT 70u
#define OTHER_WEIGHT 30u

/* What became of the requests.  */
struct parts
{
  guint run;       /* run by the server of OWN_SERVICE */
  guint forwarded; /* offered to the server of OTHER_SERVICE */
  guint refused;   /* refused to the caller as not run */
};

/* Give the node a configuration with a weighted route.  */
static void
add_weighted_route (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_new (2);
  struct route_share shares[]
      = { { .service = OWN_SERVICE, .weight = OWN_WEIGHT },
          { .service = OTHER_SERVICE, .weight = OTHER_WEIGHT } };
  struct route route = { .host = "h",
                         .path_prefix = "/",
                         .run_class = RUN_IDEMPOTENT,
                         .priority = PRIORITY_NORMAL,
                         .timeout_usec = 1000 * MSEC,
                         .max_attempts = 2,
                         .share_count = G_N_ELEMENTS (shares),
                         .shares = shares };

  routing_add_route (routing, &route);
  event.u.routing.routing = routing;
  feed_event (fixture, &event);
}

/* Count the actions of the last step on EXCHANGE in PARTS.  */
static void
count_actions (const struct fixture *fixture, struct handle exchange,
               struct parts *parts)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind == ACTION_RUN
          && handle_equal (action->u.run.exchange, exchange))
        parts->run++;
      if (action->kind == ACTION_FORWARD
          && handle_equal (action->u.forward.exchange, exchange))
        parts->forwarded++;
      if (action->kind == ACTION_ANSWER
          && handle_equal (action->u.answer.exchange, exchange)
          && action->u.answer.outcome == OUTCOME_NOT_RUN)
        parts->refused++;
    }
}

/* Send a request, and let the time pass until it has ended.  The server of
   OWN_SERVICE runs it; that of OTHER_SERVICE refuses it.  */
static void
play_request (struct fixture *fixture, struct parts *parts)
{
  struct handle exchange = send_request (fixture, "/x");
  gboolean runs = find_action (fixture, ACTION_RUN) != NULL;
  guint waited;

  count_actions (fixture, exchange, parts);
  if (runs || find_action (fixture, ACTION_FORWARD) != NULL)
    {
      end_attempt (fixture, exchange, runs ? OUTCOME_DONE : OUTCOME_NOT_RUN,
                   runs ? REASON_NONE : REASON_OVERLOAD);
      count_actions (fixture, exchange, parts);
    }
  for (waited = 0; waited < 44; waited++)
    {
      advance (fixture, 25 * MSEC);
      count_actions (fixture, exchange, parts);
    }
  gossip_from_other (fixture);
}

/* One part of a route has no capacity.  Its share of the requests must be
   refused: if it moved to the other part, that one would get more than the
   operator gave it, and might fail as well.  */
static void
test_part_without_capacity (void)
{
  struct fixture *fixture = fixture_new ();
  struct parts parts = { 0 };
  guint i;

  add_weighted_route (fixture);
  for (i = 0; i < REQUESTS; i++)
    play_request (fixture, &parts);
  CU_ASSERT_EQUAL (parts.run, REQUESTS * OWN_WEIGHT / 100);
  CU_ASSERT_EQUAL (parts.refused, REQUESTS * OTHER_WEIGHT / 100);
  CU_ASSERT_TRUE (parts.forwarded >= REQUESTS * OTHER_WEIGHT / 100);
  fixture_free (fixture);
}

/* Let the record of the other member say that its server is down.  */
static void
record_other_down (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "b", sizeof member->name);
  g_strlcpy (member->service, OTHER_SERVICE, sizeof member->service);
  member->incarnation = 77;
  member->state = MEMBER_DOWN;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  feed_event (fixture, &event);
}

/* Where a part has no server that is up, its share is refused as well.  */
static void
test_part_without_servers (void)
{
  struct fixture *fixture = fixture_new ();
  struct parts parts = { 0 };
  guint i;

  add_weighted_route (fixture);
  record_other_down (fixture);
  for (i = 0; i < REQUESTS; i++)
    play_request (fixture, &parts);
  CU_ASSERT_EQUAL (parts.run, REQUESTS * OWN_WEIGHT / 100);
  CU_ASSERT_EQUAL (parts.refused, REQUESTS * OTHER_WEIGHT / 100);
  CU_ASSERT_EQUAL (parts.forwarded, 0);
  fixture_free (fixture);
}

/* The part without capacity is the one at the entry node itself.  */
static void
test_local_part_without_capacity (void)
{
  struct fixture *fixture = fixture_new ();
  struct parts parts = { 0 };
  guint i;

  add_weighted_route (fixture);
  fixture->mesh.admission.slots = 0;
  for (i = 0; i < REQUESTS; i++)
    {
      struct handle exchange = send_request (fixture, "/x");
      count_actions (fixture, exchange, &parts);
      if (find_action (fixture, ACTION_FORWARD) != NULL)
        end_attempt (fixture, exchange, OUTCOME_DONE, REASON_NONE);
      advance (fixture, 25 * MSEC);
      gossip_from_other (fixture);
    }
  CU_ASSERT_EQUAL (parts.forwarded, REQUESTS * OTHER_WEIGHT / 100);
  CU_ASSERT_EQUAL (parts.run, 0);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "part without capacity", test_part_without_capacity },
          { "part without servers", test_part_without_servers },
          { "local part without capacity", test_local_part_without_capacity },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_weights", tests);
}

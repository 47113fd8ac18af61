#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* Give the node a map in which "b" owns all keys of OTHER_SERVICE.  */
static void
shard_other_service (struct fixture *fixture)
{
  struct event routes = { .kind = EVENT_ROUTING };
  struct event map = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MAP };
  struct routing *routing = routing_new (2);
  struct route_share share = { .service = OTHER_SERVICE, .weight = 1 };
  struct route route = {
    .host = "h", .path_prefix = "/other/", .share_count = 1, .shares = &share
  };
  struct route_service service = { .name = OTHER_SERVICE, .sharded = TRUE };
  struct shard *shard;

  routing_add_route (routing, &route);
  g_array_append_val (routing->services, service);
  routes.u.routing.routing = routing;
  feed_event (fixture, &routes);
  shard_map_init (&entry.record.u.map, OTHER_SERVICE);
  shard = shard_map_at (&entry.record.u.map, 0);
  shard->state = SHARD_HELD;
  shard->owner = "b";
  fleet_record_set_key (&entry.record);
  map.u.fleet_records.items = &entry;
  map.u.fleet_records.count = 1;
  map.u.fleet_records.next_offset = entry.offset + 1;
  feed_event (fixture, &map);
  fleet_record_clear (&entry.record);
}

/* A request whose key's owner is lost must not wait for the owner: it is
   refused at once, since no server can run the request before its deadline.
   If the owner sent a message a moment ago, the request waits.  */
static void
test_request_waits_for_lost_owner (void)
{
  struct fixture *fixture = fixture_new ();
  const struct action *action;

  shard_other_service (fixture);
  gossip_from_other (fixture);
  send_keyed_request (fixture, "/other/x", "17");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  advance (fixture, 1200 * MSEC);
  send_keyed_request (fixture, "/other/x", "17");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_FORWARD));
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_ANSWER));
  advance (fixture, 800 * MSEC);
  send_keyed_request (fixture, "/other/x", "17");
  action = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    {
      CU_ASSERT_EQUAL (action->u.answer.outcome, OUTCOME_NOT_RUN);
      CU_ASSERT_EQUAL (action->u.answer.reason, REASON_PEER_LOST);
      CU_ASSERT_TRUE (action->u.answer.retry_after_msec > 5000);
    }
  fixture_free (fixture);
}

/* Give the node a new record of the other member, whose server has SLOTS.  */
static void
record_other (struct fixture *fixture, guint64 incarnation, guint32 slots)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "b", sizeof member->name);
  g_strlcpy (member->service, OTHER_SERVICE, sizeof member->service);
  g_strlcpy (member->instance.id, "sb", sizeof member->instance.id);
  member->incarnation = incarnation;
  member->slots = slots;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  feed_event (fixture, &event);
  advance (fixture, 100 * MSEC);
}

/* Send a gossip message of the other node that names no slots.  */
static void
gossip_without_slots (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };

  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = 77;
  call.u.gossip.applied_offset = 1;
  call.u.gossip.config_version = 1;
  event.u.mesh_call.call = &call;
  feed_event (fixture, &event);
}

/* An operator must be able to see why a server was picked: the pick says how
   many were compared, at what cost it was chosen, and how busy the service is
   known to be.  */
static void
test_pick_says_why (void)
{
  struct fixture *fixture = fixture_new ();
  struct mesh_request request = { 0 };
  struct mesh_pick pick;

  g_strlcpy (request.request.service, OTHER_SERVICE, NAME_SIZE);
  pick = mesh_pick (&fixture->mesh, &request, fixture->now);
  CU_ASSERT_TRUE (handle_is_set (pick.member));
  CU_ASSERT_FALSE (pick.is_local);
  CU_ASSERT_EQUAL (pick.compared, 1);
  CU_ASSERT_TRUE (pick.cost_usec > 0);
  CU_ASSERT_EQUAL (pick.busy_permille, 0);
  g_strlcpy (request.request.service, OWN_SERVICE, NAME_SIZE);
  pick = mesh_pick (&fixture->mesh, &request, fixture->now);
  CU_ASSERT_TRUE (pick.is_local);
  fixture_free (fixture);
}

/* Return whether a request for OTHER_SERVICE is sent to the other node.  */
static gboolean
is_forwarded (struct fixture *fixture)
{
  send_request (fixture, "/other/x");
  return find_action (fixture, ACTION_FORWARD) != NULL;
}

/* The record of a member first names no slots, and the slots of its server's
   first heartbeat later.  A node that has no load report of it must send it
   requests by the later record: reports come with the answers to requests.  */
static void
test_slots_recorded_late (void)
{
  struct fixture *fixture = fixture_start ();

  record_other (fixture, 77, 0);
  add_services (fixture);
  read_config_end (fixture);
  CU_ASSERT_FALSE (is_forwarded (fixture));
  record_other (fixture, 77, 4);
  CU_ASSERT_TRUE (is_forwarded (fixture));
  fixture_free (fixture);
}

/* A node that has just started reports no slots.  No later report comes from
   it if it is not a neighbour and gets no requests.  It must be tried once its
   record names other slots.  */
static void
test_report_without_slots (void)
{
  struct fixture *fixture = fixture_new ();

  gossip_without_slots (fixture);
  CU_ASSERT_FALSE (is_forwarded (fixture));
  advance (fixture, 100 * MSEC);
  CU_ASSERT_FALSE (is_forwarded (fixture));
  record_other (fixture, 77, 6);
  CU_ASSERT_TRUE (is_forwarded (fixture));
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "request waits for a lost owner",
            test_request_waits_for_lost_owner },
          { "slots recorded late", test_slots_recorded_late },
          { "report without slots", test_report_without_slots },
          { "pick says why", test_pick_says_why },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_pick", tests);
}

#include "tests/mesh_fixture.h"

/* Have the node know that "b" holds all keys of OTHER_SERVICE.  */
static void
divide_other (struct bench *bench)
{
  struct event routes = { .kind = EVENT_ROUTING };
  struct event map = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = bench->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MAP };
  struct routing *routing = routing_new (2);
  struct route route
      = { .host = "h", .path_prefix = "/other/", .share_count = 1 };
  struct route_service service = { .name = OTHER_SERVICE, .sharded = TRUE };
  struct shard *shard;

  g_strlcpy (route.shares[0].service, OTHER_SERVICE, NAME_SIZE);
  routing_add_route (routing, &route);
  g_array_append_val (routing->services, service);
  routes.u.routing.routing = routing;
  feed (bench, &routes);
  shard_map_init (&entry.record.u.map, OTHER_SERVICE);
  shard = shard_map_at (&entry.record.u.map, 0);
  shard->state = SHARD_HELD;
  g_strlcpy (shard->owner, "b", sizeof shard->owner);
  fleet_record_set_key (&entry.record);
  map.u.fleet.items = &entry;
  map.u.fleet.count = 1;
  map.u.fleet.next_offset = entry.offset + 1;
  feed (bench, &map);
  fleet_record_clear (&entry.record);
}

/* A request whose key's owner is lost is refused at once: nobody can serve it
   in its time.  One whose owner was heard a moment ago waits for it.  */
static void
test_held_for_lost_owner (void)
{
  struct bench *bench = bench_new ();
  const struct action *action;

  divide_other (bench);
  hear_other (bench);
  ask_with_key (bench, "/other/x", "17");
  CU_ASSERT_PTR_NOT_NULL (find (bench, ACTION_FORWARD));
  pass (bench, 1200 * MSEC);
  ask_with_key (bench, "/other/x", "17");
  CU_ASSERT_PTR_NULL (find (bench, ACTION_FORWARD));
  CU_ASSERT_PTR_NULL (find (bench, ACTION_ANSWER));
  pass (bench, 800 * MSEC);
  ask_with_key (bench, "/other/x", "17");
  action = find (bench, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    {
      CU_ASSERT_EQUAL (action->u.answer.outcome, OUTCOME_NOT_RUN);
      CU_ASSERT_EQUAL (action->u.answer.reason, REASON_PEER_LOST);
      CU_ASSERT_TRUE (action->u.answer.retry_after_msec > 5000);
    }
  bench_free (bench);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "held for a lost owner", test_held_for_lost_owner },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_pick", tests);
}

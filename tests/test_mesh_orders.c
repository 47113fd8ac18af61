#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A node whose server is granted its keys by calls.  */

/* Give the node a configuration in which its service is divided by key.  */
static void
divide_service (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct route_share share = { .service = OWN_SERVICE, .weight = 1 };
  struct route route = { .host = "h",
                         .path_prefix = "/own/",
                         .run_class = RUN_IDEMPOTENT,
                         .max_attempts = 2,
                         .share_count = 1,
                         .shares = &share };
  struct route_service service = { .name = OWN_SERVICE, .sharded = TRUE };

  event.u.routing.routing = routing_new (2);
  routing_add_route (event.u.routing.routing, &route);
  g_array_append_val (event.u.routing.routing->services, service);
  feed_event (fixture, &event);
}

/* Give the node a map in which its server holds all keys.  */
static void
own_all_keys (struct fixture *fixture)
{
  struct fleet_entry entry
      = { .offset = fixture->mesh.fleet.applied_offset + 5,
          .record.kind = FLEET_MAP };
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct shard *shard;

  divide_service (fixture);
  shard_map_init (&entry.record.u.map, OWN_SERVICE);
  shard = shard_map_at (&entry.record.u.map, 0);
  shard->state = SHARD_HELD;
  shard->fence = 3;
  shard->instance = fixture->mesh.grant.instance;
  shard->owner = "a";
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = fixture->now;
  feed_event (fixture, &event);
  fleet_record_clear (&entry.record);
}

/* Return the order in the actions of the last step, with kind KIND.  */
static struct action_key_order
last_order (const struct fixture *fixture, enum key_order_kind kind)
{
  const struct action *action = find_action (fixture, ACTION_KEY_ORDER);
  struct action_key_order none = { 0 };

  CU_ASSERT_PTR_NOT_NULL (action);
  if (action == NULL)
    return none;
  CU_ASSERT_EQUAL (action->u.key_order.order.kind, kind);
  return action->u.key_order;
}

/* End ORDER with CODE.  */
static void
end_order (struct fixture *fixture, const struct action_key_order *order,
           enum err code)
{
  struct event event = { .kind = EVENT_KEY_ORDER_ENDED };

  event.u.key_order_ended.serial = order->serial;
  event.u.key_order_ended.order = order->order;
  event.u.key_order_ended.code = code;
  feed_event (fixture, &event);
}

/* The first grant is sent as soon as the map is known, not at a heartbeat, and
   a request waits for its answer.  The answer to a heartbeat grants nothing.
 */
static void
test_first_grant (void)
{
  struct fixture *fixture = fixture_new_by (GRANT_BY_CALL);
  struct action_key_order grant;
  const struct action *answer;

  own_all_keys (fixture);
  grant = last_order (fixture, KEY_ORDER_GRANT);
  CU_ASSERT_EQUAL (grant.order.first, 0);
  CU_ASSERT_EQUAL (grant.order.last, SHARD_KEY_COUNT - 1);
  CU_ASSERT_STRING_EQUAL (grant.order.server, "sa");
  CU_ASSERT_TRUE (grant.order.granted_until > fixture->now);
  send_keyed_request (fixture, "/own/x", "17");
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_ANSWER));
  end_order (fixture, &grant, ERR_NONE);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  send_heartbeat (fixture, 2);
  answer = find_action (fixture, ACTION_HEARTBEAT_ANSWER);
  CU_ASSERT_FALSE (answer->u.heartbeat_answer.answer->renews_grant);
  fixture_free (fixture);
}

/* A request that the server denies is sent again only after the range was
   granted again, and only once; then it is refused as not run.  */
static void
test_denied (void)
{
  struct fixture *fixture = fixture_new_by (GRANT_BY_CALL);
  struct action_key_order grant;
  const struct action *answer;
  struct handle exchange;

  own_all_keys (fixture);
  grant = last_order (fixture, KEY_ORDER_GRANT);
  end_order (fixture, &grant, ERR_NONE);
  exchange = send_keyed_request (fixture, "/own/x", "17");
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_KEY_DENIED);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_ANSWER));
  advance (fixture, 100 * MSEC);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  grant = last_order (fixture, KEY_ORDER_GRANT);
  end_order (fixture, &grant, ERR_NONE);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_KEY_DENIED);
  answer = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (answer);
  if (answer != NULL)
    CU_ASSERT_EQUAL (answer->u.answer.outcome, OUTCOME_NOT_RUN);
  fixture_free (fixture);
}

/* Keys that are handed off are released first and then given away in the
   map.  */
static void
test_handoff (void)
{
  struct fixture *fixture = fixture_new_by (GRANT_BY_CALL);
  struct action_key_order order;
  struct fleet_entry entry = { .offset = 40, .record.kind = FLEET_MEMBER };
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  const struct action *append;

  own_all_keys (fixture);
  order = last_order (fixture, KEY_ORDER_GRANT);
  end_order (fixture, &order, ERR_NONE);
  g_strlcpy (entry.record.u.member.name, "c", NAME_SIZE);
  g_strlcpy (entry.record.u.member.service, OWN_SERVICE, NAME_SIZE);
  g_strlcpy (entry.record.u.member.instance.id, "sc", NAME_SIZE);
  entry.record.u.member.incarnation = 9;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = 41;
  feed_event (fixture, &event);
  mesh_handoff_add (&fixture->mesh, 100, 199, "c", fixture->now);
  send_heartbeat (fixture, 2);
  order = last_order (fixture, KEY_ORDER_RELEASE);
  CU_ASSERT_EQUAL (order.order.first, 100);
  CU_ASSERT_EQUAL (order.order.last, 199);
  CU_ASSERT_FALSE (grant_covers_key (&fixture->mesh.grant, 150, fixture->now));
  CU_ASSERT_TRUE (grant_covers_key (&fixture->mesh.grant, 200, fixture->now));
  end_order (fixture, &order, ERR_INDETERMINATE);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_STORE_APPEND));
  advance (fixture, 30 * MSEC);
  order = last_order (fixture, KEY_ORDER_RELEASE);
  end_order (fixture, &order, ERR_NONE);
  append = find_action (fixture, ACTION_STORE_APPEND);
  CU_ASSERT_PTR_NOT_NULL (append);
  if (append != NULL)
    CU_ASSERT_STRING_EQUAL (
        shard_map_find (&append->u.store_append.record.u.map, 150)->owner,
        "c");
  fixture_free (fixture);
}

/* A call that finds another server at the address shows that the known one has
   ended, as a request does: what ran on it counts as lost with it.  */
static void
test_server_gone (void)
{
  struct fixture *fixture = fixture_new_by (GRANT_BY_CALL);
  struct event event = { .kind = EVENT_REQUEST };
  struct action_key_order order;

  own_all_keys (fixture);
  order = last_order (fixture, KEY_ORDER_GRANT);
  end_order (fixture, &order, ERR_NONE);
  g_strlcpy (event.u.request.request.key, "17", KEY_SIZE);
  event.u.request.request.digest = 99;
  event.u.request.request.deadline = fixture->now + 9000 * MSEC;
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.host = "h";
  event.u.request.target = "/own/x";
  feed_event (fixture, &event);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_RUN));
  while (find_action (fixture, ACTION_KEY_ORDER) == NULL)
    {
      freshness_confirm (&fixture->mesh.freshness[MESH_TOPIC_FLEET],
                         fixture->now, 0);
      advance (fixture, 25 * MSEC);
    }
  order = last_order (fixture, KEY_ORDER_GRANT);
  end_order (fixture, &order, ERR_NOT_FOUND);
  CU_ASSERT_TRUE (fixture->mesh.grant.presumed_dead);
  CU_ASSERT_EQUAL (fixture->mesh.admission.slots, 0);
  CU_ASSERT_EQUAL (fixture->mesh.crash_reports->len, 1);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "first grant", test_first_grant },
                          { "the server denies a key", test_denied },
                          { "handoff", test_handoff },
                          { "the server is gone", test_server_gone },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_orders", tests);
}

#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* Guards against requests that stay with a host after its server was replaced
   by one of another service.  */

/* Make the service with the name NAME known, divided by key if SHARDED.  */
static void
add_known_service (struct routing *routing, const char *name, gboolean sharded)
{
  struct route_service service = { .sharded = sharded };

  g_strlcpy (service.name, name, sizeof service.name);
  g_array_append_val (routing->services, service);
}

/* Return a node "a" whose server runs one request, so that the next ones are
   queued.  The other service is known too.  OWN_SERVICE is divided by key if
   SHARDED.  */
static struct fixture *
start_busy (gboolean sharded)
{
  struct fixture *fixture = fixture_new ();
  struct event event = { .kind = EVENT_ROUTING };
  struct routing *routing = routing_copy (fixture->mesh.routing);

  routing->version = 2;
  add_known_service (routing, OWN_SERVICE, sharded);
  add_known_service (routing, OTHER_SERVICE, FALSE);
  event.u.routing.routing = routing;
  feed_event (fixture, &event);
  if (!sharded)
    send_request (fixture, "/own/x");
  return fixture;
}

/* Send a request of SERVICE with KEY that another node forwarded.  */
static struct handle
forward_here (struct fixture *fixture, const char *service, const char *key)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  g_strlcpy (request->service, service, sizeof request->service);
  g_strlcpy (request->key, key, sizeof request->key);
  request->forwarded = TRUE;
  request->priority = PRIORITY_NORMAL;
  request->deadline = fixture->now + 2000 * MSEC;
  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  event.u.request.host = "h";
  event.u.request.target = "/own/x";
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Send the first heartbeat of a server of SERVICE that replaces the one that
   was there.  It runs eight requests at once.  */
static void
replace_server (struct fixture *fixture, const char *service)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat heartbeat = { .sequence = 1, .slots = 8 };

  g_strlcpy (heartbeat.instance.id, "sn", sizeof heartbeat.instance.id);
  g_strlcpy (heartbeat.service, service, sizeof heartbeat.service);
  heartbeat.instance.started_at_msec = 9;
  event.u.heartbeat.heartbeat = &heartbeat;
  feed_event (fixture, &event);
}

/* Return whether the last step has an action of KIND for EXCHANGE.  */
static gboolean
has_action_for (const struct fixture *fixture, enum action_kind kind,
                struct handle exchange)
{
  guint i;

  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      struct handle of = HANDLE_NONE;
      if (action->kind != kind)
        continue;
      if (kind == ACTION_RUN)
        of = action->u.run.exchange;
      else if (kind == ACTION_ANSWER)
        of = action->u.answer.exchange;
      if (handle_equal (of, exchange))
        return TRUE;
    }
  return FALSE;
}

/* Check that EXCHANGE was answered in the last step as not run, since the
   server is of another service.  */
static void
check_refused (const struct fixture *fixture, struct handle exchange)
{
  guint i;

  CU_ASSERT_FALSE (has_action_for (fixture, ACTION_RUN, exchange));
  CU_ASSERT_TRUE (has_action_for (fixture, ACTION_ANSWER, exchange));
  for (i = 0; i < fixture->actions.items->len; i++)
    {
      const struct action *action = actions_at (&fixture->actions, i);
      if (action->kind != ACTION_ANSWER
          || !handle_equal (action->u.answer.exchange, exchange))
        continue;
      CU_ASSERT_EQUAL (action->u.answer.outcome, OUTCOME_NOT_RUN);
      CU_ASSERT_EQUAL (action->u.answer.reason, REASON_OTHER_SERVICE);
    }
}

/* A forwarded request in the queue is refused as soon as the server of another
   service announces itself, and does not run there.  */
static void
test_queued_forwarded (void)
{
  struct fixture *fixture = start_busy (FALSE);
  struct handle queued = forward_here (fixture, OWN_SERVICE, "");

  CU_ASSERT_FALSE (has_action_for (fixture, ACTION_ANSWER, queued));
  replace_server (fixture, OTHER_SERVICE);
  check_refused (fixture, queued);
  fixture_free (fixture);
}

/* A caller's request in the queue is not run there either.  */
static void
test_queued_own (void)
{
  struct fixture *fixture = start_busy (FALSE);
  struct handle queued = send_request (fixture, "/own/y");

  replace_server (fixture, OTHER_SERVICE);
  CU_ASSERT_FALSE (has_action_for (fixture, ACTION_RUN, queued));
  advance (fixture, 100 * MSEC);
  CU_ASSERT_FALSE (has_action_for (fixture, ACTION_RUN, queued));
  fixture_free (fixture);
}

/* A request whose sender still holds the older record of this node is refused
   on arrival; one of the new service runs.  */
static void
test_arrival_by_old_record (void)
{
  struct fixture *fixture = start_busy (FALSE);
  struct handle late;
  struct handle current;

  replace_server (fixture, OTHER_SERVICE);
  late = forward_here (fixture, OWN_SERVICE, "");
  check_refused (fixture, late);
  current = forward_here (fixture, OTHER_SERVICE, "");
  CU_ASSERT_TRUE (has_action_for (fixture, ACTION_RUN, current));
  fixture_free (fixture);
}

/* A caller's request that the older record of this node itself would bring to
   the local server does not run there.  */
static void
test_entry_by_old_record (void)
{
  struct fixture *fixture = start_busy (FALSE);
  struct handle late;

  replace_server (fixture, OTHER_SERVICE);
  late = send_request (fixture, "/own/z");
  CU_ASSERT_FALSE (has_action_for (fixture, ACTION_RUN, late));
  fixture_free (fixture);
}

/* A request that waits here for the grant of its key is refused.  */
static void
test_waiting_for_grant (void)
{
  struct fixture *fixture = start_busy (TRUE);
  struct fleet_entry entry = { .offset = 50, .record.kind = FLEET_MAP };
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct handle waiting;

  shard_map_init (&entry.record.u.map, OWN_SERVICE);
  shard_map_at (&entry.record.u.map, 0)->state = SHARD_HELD;
  shard_map_at (&entry.record.u.map, 0)->owner = "a";
  shard_map_at (&entry.record.u.map, 0)->instance
      = fixture->mesh.grant.instance;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = 51;
  feed_event (fixture, &event);
  fleet_record_clear (&entry.record);
  waiting = forward_here (fixture, OWN_SERVICE, "7");
  CU_ASSERT_FALSE (has_action_for (fixture, ACTION_ANSWER, waiting));
  replace_server (fixture, OTHER_SERVICE);
  check_refused (fixture, waiting);
  fixture_free (fixture);
}

/* What was learned of the earlier service is dropped: the rates of its keys
   and the handoffs that were planned for them.  */
static void
test_forgets_service (void)
{
  struct fixture *fixture = start_busy (FALSE);

  key_rate_add (&fixture->mesh.key_rate, 7);
  mesh_handoff_add (&fixture->mesh, 0, 9, "b", fixture->now);
  replace_server (fixture, OTHER_SERVICE);
  CU_ASSERT_EQUAL (fixture->mesh.key_rate.counts[7], 0);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 0);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "queued, forwarded", test_queued_forwarded },
          { "queued, of a caller", test_queued_own },
          { "arrives by an older record", test_arrival_by_old_record },
          { "enters by an older record", test_entry_by_old_record },
          { "waits for a grant", test_waiting_for_grant },
          { "what was learned is dropped", test_forgets_service },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_service_change", tests);
}

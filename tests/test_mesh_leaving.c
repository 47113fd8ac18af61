#include "tests/mesh_fixture.h"

/* A node whose server says in its answers that it leaves.  */

/* Send a request from another node; return its exchange.  */
static struct handle
forwarded_request (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct request *request = &event.u.request.request;

  event.u.request.exchange = handle_make (++fixture->last_exchange, 1);
  request->forwarded = TRUE;
  request->priority = PRIORITY_NORMAL;
  request->deadline = fixture->now + 2000 * MSEC;
  g_strlcpy (request->service, OWN_SERVICE, sizeof request->service);
  feed_event (fixture, &event);
  return event.u.request.exchange;
}

/* Answer EXCHANGE with 200; LEAVING: the server says that it leaves.  */
static void
answer (struct fixture *fixture, struct handle exchange, gboolean leaving)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.attempt_ended.exchange = exchange;
  event.u.attempt_ended.outcome = OUTCOME_DONE;
  event.u.attempt_ended.http_status = 200;
  event.u.attempt_ended.has_notice = TRUE;
  event.u.attempt_ended.notice.is_leaving = leaving;
  feed_event (fixture, &event);
}

/* Return whether a request from another node is given to the server now; it is
   answered at once.  */
static gboolean
is_served (struct fixture *fixture)
{
  struct handle exchange = forwarded_request (fixture);

  if (find_action (fixture, ACTION_RUN) == NULL)
    return FALSE;
  answer (fixture, exchange, FALSE);
  return TRUE;
}

/* A server that says in an answer that it leaves gets its last request before
   the drain limit has passed, though its heartbeats do not say so.  */
static void
test_answer_says_so (void)
{
  struct fixture *fixture = fixture_new ();

  answer (fixture, forwarded_request (fixture), TRUE);
  CU_ASSERT_EQUAL (mesh_load_report (&fixture->mesh, fixture->now).slots, 0);
  advance (fixture, 1000 * MSEC);
  send_heartbeat (fixture, 2);
  CU_ASSERT_TRUE (is_served (fixture));
  advance (fixture, 900 * MSEC);
  send_heartbeat (fixture, 3);
  CU_ASSERT_FALSE (is_served (fixture));
  fixture_free (fixture);
}

/* The answer of an instance that has ended since says nothing of the next
   one.  */
static void
test_earlier_instance (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle exchange = forwarded_request (fixture);
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  advance (fixture, 100 * MSEC);
  g_strlcpy (heartbeat->instance.id, "sb", sizeof heartbeat->instance.id);
  g_strlcpy (heartbeat->service, OWN_SERVICE, sizeof heartbeat->service);
  heartbeat->instance.started_at_msec = 6;
  heartbeat->sequence = 1;
  heartbeat->slots = 1;
  event.u.heartbeat.heartbeat = heartbeat;
  feed_event (fixture, &event);
  answer (fixture, exchange, TRUE);
  CU_ASSERT_EQUAL (mesh_load_report (&fixture->mesh, fixture->now).slots, 1);
  g_free (heartbeat);
  fixture_free (fixture);
}

/* Give the node its own record with STATE, as an earlier process left it.  */
static void
add_own_record (struct fixture *fixture, enum member_state state)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "a", sizeof member->name);
  g_strlcpy (member->service, OWN_SERVICE, sizeof member->service);
  g_strlcpy (member->instance.id, "sa", sizeof member->instance.id);
  member->instance.started_at_msec = 5;
  member->incarnation = 4;
  member->slots = 4;
  member->state = state;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = 1;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = fixture->now;
  feed_event (fixture, &event);
}

/* Return whether a process that finds its record in STATE gives requests to
   the server before the server's first heartbeat.  */
static gboolean
serves_after_restart (enum member_state state)
{
  struct fixture *fixture = fixture_start ();
  gboolean served;

  add_own_record (fixture, state);
  add_services (fixture);
  served = is_served (fixture);
  fixture_free (fixture);
  return served;
}

/* A node that restarts beside a server that leaves does not take it for
   ready.  */
static void
test_restart (void)
{
  CU_ASSERT_TRUE (serves_after_restart (MEMBER_READY));
  CU_ASSERT_FALSE (serves_after_restart (MEMBER_DRAINING));
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "answer that says the server leaves is passed over",
            test_answer_says_so },
          { "earlier instance that leaves", test_earlier_instance },
          { "leaving server is forgotten in a restart", test_restart },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh leaving", tests);
}

#include "tests/mesh_fixture.h"

/* A node whose server says that it leaves: in its answers, by a
   deregistration, or to an earlier process of the node.  */

#define RECORDED_START_MSEC ((gint64)5)   /* start of the recorded server */
#define DEREGISTERED_MSEC ((gint64)10000) /* when it deregisters */

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
  member->instance.started_at_msec = RECORDED_START_MSEC;
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

/* Return a process that finds its record in STATE when it starts.  */
static struct fixture *
restart_with (enum member_state state)
{
  struct fixture *fixture = fixture_start ();

  add_own_record (fixture, state);
  add_services (fixture);
  return fixture;
}

/* Send a heartbeat of the server, which started at STARTED_AT_MSEC, that says
   that it is ready.  */
static void
send_ready (struct fixture *fixture, gint64 started_at_msec)
{
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct heartbeat heartbeat = { .sequence = 9, .slots = 4 };

  g_strlcpy (heartbeat.instance.id, "sa", sizeof heartbeat.instance.id);
  g_strlcpy (heartbeat.service, OWN_SERVICE, sizeof heartbeat.service);
  heartbeat.instance.started_at_msec = started_at_msec;
  event.u.heartbeat.heartbeat = &heartbeat;
  feed_event (fixture, &event);
}

/* Deregister the server "sa" DEREGISTERED_MSEC after 1970, and check that this
   is acknowledged.  */
static void
deregister (struct fixture *fixture)
{
  struct event event = { .kind = EVENT_DEREGISTER };
  const struct action *action;

  event.u.deregister.at_msec = DEREGISTERED_MSEC;
  g_strlcpy (event.u.deregister.server_id, "sa", NAME_SIZE);
  feed_event (fixture, &event);
  action = find_action (fixture, ACTION_HEARTBEAT_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    CU_ASSERT_EQUAL (action->u.heartbeat_answer.code, ERR_NONE);
}

/* A node that restarts gives its server requests only after a heartbeat says
   that the server is ready: what it announced to the earlier process may not
   be recorded.  A server that was recorded as leaving gets none after that
   either.  */
static void
test_restart (void)
{
  struct fixture *fixture = restart_with (MEMBER_READY);

  CU_ASSERT_FALSE (is_served (fixture));
  CU_ASSERT_EQUAL (mesh_load_report (&fixture->mesh, fixture->now).slots, 0);
  send_ready (fixture, RECORDED_START_MSEC);
  CU_ASSERT_TRUE (is_served (fixture));
  CU_ASSERT_EQUAL (mesh_load_report (&fixture->mesh, fixture->now).slots, 4);
  fixture_free (fixture);

  fixture = restart_with (MEMBER_DRAINING);
  CU_ASSERT_FALSE (is_served (fixture));
  send_ready (fixture, RECORDED_START_MSEC);
  CU_ASSERT_FALSE (is_served (fixture));
  fixture_free (fixture);
}

/* Guards against a deregistration that is acknowledged and forgotten: it comes
   while the store cannot be read, so that the process does not know the server
   yet.  A late heartbeat does not undo it.  */
static void
test_deregistered_unknown (void)
{
  struct fixture *fixture = fixture_start ();

  add_services (fixture);
  deregister (fixture);
  add_own_record (fixture, MEMBER_READY);
  CU_ASSERT_TRUE_FATAL (fixture->mesh.proposal.is_pending);
  CU_ASSERT_EQUAL (fixture->mesh.proposal.record.u.member.state,
                   MEMBER_DRAINING);
  CU_ASSERT_FALSE (is_served (fixture));
  send_ready (fixture, RECORDED_START_MSEC);
  advance (fixture, 3000 * MSEC);
  CU_ASSERT_FALSE (is_served (fixture));
  CU_ASSERT_EQUAL (mesh_load_report (&fixture->mesh, fixture->now).slots, 0);
  fixture_free (fixture);
}

/* The same for a server that the store does not know: a late heartbeat makes
   it known.  A server that starts later under the same name is served.  */
static void
test_late_heartbeat (void)
{
  struct fixture *fixture = fixture_start ();

  add_services (fixture);
  deregister (fixture);
  send_ready (fixture, RECORDED_START_MSEC);
  advance (fixture, 3000 * MSEC);
  CU_ASSERT_FALSE (is_served (fixture));
  send_ready (fixture, DEREGISTERED_MSEC + 1);
  CU_ASSERT_TRUE (is_served (fixture));
  fixture_free (fixture);
}

/* A deregistration is known to the next process too, if it could be recorded:
   a late heartbeat does not undo it there.  */
static void
test_deregistered_recorded (void)
{
  struct fixture *fixture = fixture_new ();

  deregister (fixture);
  CU_ASSERT_TRUE_FATAL (fixture->mesh.proposal.is_pending);
  CU_ASSERT_EQUAL (fixture->mesh.proposal.record.u.member.state,
                   MEMBER_DRAINING);
  fixture_free (fixture);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "answer that says the server leaves is passed over",
            test_answer_says_so },
          { "earlier instance that leaves", test_earlier_instance },
          { "leaving server is forgotten in a restart", test_restart },
          { "deregistration before the server is known",
            test_deregistered_unknown },
          { "late heartbeat after a deregistration", test_late_heartbeat },
          { "deregistration is recorded", test_deregistered_recorded },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh leaving", tests);
}

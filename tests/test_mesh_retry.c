#include "tests/mesh_fixture.h"

/* Add a member NAME to the fleet whose process is PROCESS and that serves
   SERVICE.  */
static void
add_member (struct fixture *fixture, const char *name, const char *service,
            guint64 process)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .offset = fixture->mesh.fleet.applied_offset,
                               .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, name, sizeof member->name);
  g_strlcpy (member->service, service, sizeof member->service);
  g_strlcpy (member->instance.id, name, sizeof member->instance.id);
  member->incarnation = process;
  member->slots = 4;
  fleet_record_set_key (&entry.record);
  event.u.fleet_records.items = &entry;
  event.u.fleet_records.count = 1;
  event.u.fleet_records.next_offset = entry.offset + 1;
  feed_event (fixture, &event);
}

/* Add a third member, "c", that serves OTHER_SERVICE.  */
static void
add_third_member (struct fixture *fixture)
{
  add_member (fixture, "c", OTHER_SERVICE, 78);
}

/* Return the process that the last step sent a request to, 0 for none.  */
static guint64
request_target (const struct fixture *fixture)
{
  const struct action *action = find_action (fixture, ACTION_FORWARD);

  return action != NULL ? action->u.forward.peer_incarnation : 0;
}

/* A request for an unsharded service that one node has no room for goes to
   another node, also if the request carries a key.  */
static void
test_retry_at_other_node (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle exchange;
  guint64 first;

  add_third_member (fixture);
  exchange = send_keyed_request (fixture, "/other/x", "17");
  first = request_target (fixture);
  CU_ASSERT_NOT_EQUAL (first, 0);
  end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_OVERLOAD);
  CU_ASSERT_NOT_EQUAL (request_target (fixture), 0);
  CU_ASSERT_NOT_EQUAL (request_target (fixture), first);
  fixture_free (fixture);
}

/* A server that refuses requests though it has free slots keeps all its slots:
   a lack of slots is not why it refuses.  */
static void
test_shed_keeps_slots (void)
{
  struct fixture *fixture = fixture_new ();
  guint i;

  for (i = 0; i < 20; i++)
    {
      struct handle exchange = send_request (fixture, "/own/x");
      end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_SHED);
    }
  CU_ASSERT_EQUAL (mesh_load_report (&fixture->mesh, fixture->now).slots, 1);
  CU_ASSERT_TRUE (
      mesh_load_report (&fixture->mesh, fixture->now).failed_permille > 500);
  CU_ASSERT_EQUAL (fixture->mesh.admission.limiter.withheld_slots, 0);
  fixture_free (fixture);
}

/* Requests that a server refused are retried only within the budget.  */
static void
test_shed_uses_budget (void)
{
  struct fixture *fixture = fixture_new ();
  guint sent = 0;
  guint i;

  add_third_member (fixture);
  for (i = 0; i < 20; i++)
    {
      struct handle exchange = send_request (fixture, "/other/x");
      while (find_action (fixture, ACTION_FORWARD) != NULL)
        {
          sent++;
          end_attempt (fixture, exchange, OUTCOME_NOT_RUN, REASON_SHED);
        }
    }
  CU_ASSERT_TRUE (sent > 20);
  CU_ASSERT_TRUE (sent <= 20 + 3 + 20 / 10);
  fixture_free (fixture);
}

/* A server error is not passed on where another attempt may succeed, unless
   the request must run only once.  */
static void
test_server_error_retried (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle exchange;

  add_third_member (fixture);
  exchange = send_request (fixture, "/other/x");
  end_with_status (fixture, exchange, 500);
  CU_ASSERT_PTR_NOT_NULL (find_action (fixture, ACTION_FORWARD));
  exchange = send_request (fixture, "/once/x");
  end_with_status (fixture, exchange, 500);
  CU_ASSERT_PTR_NULL (find_action (fixture, ACTION_RUN));
  fixture_free (fixture);
}

/* A request that the local server has no room for is sent to another server,
   though that one is busier; if there is no other server, the request is
   refused at once.  */
static void
test_own_server_is_full (void)
{
  struct fixture *fixture = fixture_new ();
  struct load_report busy = { .running = 4, .waiting = 60, .slots = 4 };
  const struct action *action;

  fixture->mesh.admission.busy_slots = fixture->mesh.admission.slots;
  fixture->mesh.admission.queue_max = 0;
  send_request (fixture, "/own/x");
  action = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    CU_ASSERT_EQUAL (action->u.answer.reason, REASON_OVERLOAD);
  add_member (fixture, "d", OWN_SERVICE, 79);
  peer_state_on_load (table_get (&fixture->mesh.peers,
                                 fleet_state_find (&fixture->mesh.fleet, "d")),
                      &busy, fixture->now);
  send_request (fixture, "/own/x");
  CU_ASSERT_EQUAL (request_target (fixture), 79);
  fixture->mesh.admission.busy_slots = 0;
  fixture_free (fixture);
}

/* Let the attempt of EXCHANGE end because the start of the request body is
   lost.  */
static void
lose_body (struct fixture *fixture, struct handle exchange)
{
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  event.u.attempt_ended.exchange = exchange;
  event.u.attempt_ended.outcome = OUTCOME_NOT_RUN;
  event.u.attempt_ended.reason = REASON_BODY_LOST;
  feed_event (fixture, &event);
}

/* Check that the last step answered a request with OUTCOME for want of its
   body.  */
static void
check_body_lost (const struct fixture *fixture, enum outcome outcome)
{
  const struct action *action = find_action (fixture, ACTION_ANSWER);

  CU_ASSERT_PTR_NOT_NULL (action);
  if (action == NULL)
    return;
  CU_ASSERT_EQUAL (action->u.answer.outcome, outcome);
  CU_ASSERT_EQUAL (action->u.answer.reason, REASON_BODY_LOST);
}

/* Guards against the end of a node where the body of a request cannot be sent
   again: the request ends, as not run only if no earlier attempt may have run
   it, and its slot is free.  */
static void
test_body_lost (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle exchange;

  add_third_member (fixture);
  lose_body (fixture, send_request (fixture, "/own/x"));
  check_body_lost (fixture, OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (fixture->mesh.admission.busy_slots, 0);
  lose_body (fixture, send_request (fixture, "/other/x"));
  check_body_lost (fixture, OUTCOME_NOT_RUN);
  exchange = send_request (fixture, "/other/x");
  end_attempt (fixture, exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST);
  CU_ASSERT_NOT_EQUAL (request_target (fixture), 0);
  lose_body (fixture, exchange);
  check_body_lost (fixture, OUTCOME_UNKNOWN);
  CU_ASSERT_EQUAL (fixture->mesh.requests.count, 0);
  fixture_free (fixture);
}

/* Guards against a node that counts as unreachable though it answers: it
   refuses what would not complete before its deadline.  Without an answer the
   deadline says nothing of the node.  */
static void
test_refusal_closes_breaker (void)
{
  struct fixture *fixture = fixture_new ();
  struct peer_state *peer = table_get (
      &fixture->mesh.peers, fleet_state_find (&fixture->mesh.fleet, "b"));
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  peer->breaker.state = BREAKER_OPEN;
  peer->breaker.consecutive_failures = 5;
  event.u.attempt_ended.exchange = send_request (fixture, "/other/x");
  event.u.attempt_ended.outcome = OUTCOME_UNKNOWN;
  event.u.attempt_ended.reason = REASON_DEADLINE;
  feed_event (fixture, &event);
  CU_ASSERT_EQUAL (peer->breaker.state, BREAKER_HALF_OPEN);
  peer->breaker.blocked_until = 0;
  end_attempt (fixture, send_request (fixture, "/other/x"), OUTCOME_NOT_RUN,
               REASON_DEADLINE);
  CU_ASSERT_EQUAL (peer->breaker.state, BREAKER_CLOSED);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "retry at another node", test_retry_at_other_node },
          { "shedding keeps slots", test_shed_keeps_slots },
          { "shedding uses the budget", test_shed_uses_budget },
          { "server error retried", test_server_error_retried },
          { "own server is full", test_own_server_is_full },
          { "refusal closes the breaker", test_refusal_closes_breaker },
          { "body lost", test_body_lost },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_retry", tests);
}

#include "decide/retry.h"
#include "decide/timing.h"
#include "tests/request_fixture.h"

/* Return the incarnation that a request is forwarded to, 0 if it is not.  */
static guint64
forwarded_to (const struct fixture *f)
{
  const struct action *action = fixture_find (f, ACTION_FORWARD);

  return action != NULL ? action->u.forward.peer_incarnation : 0;
}

/* Return a request of RUN_CLASS for SERVICE whose deadline allows many
   attempts.  */
static struct request
long_request (const char *service, enum run_class run_class)
{
  struct request request = fixture_request (
      service, strcmp (service, "pay") == 0 ? "" : "k", "a");

  request.run_class = run_class;
  request.deadline = FIXTURE_START + 60 * (gint64)1000000;
  return request;
}

/* A request that must run once ends as unknown after the first attempt that
   may have run, and is not sent again.  */
static void
test_once_unknown_ends (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_ONCE);
  struct handle exchange;

  fixture_begin (&f, "desk");
  exchange = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_EQUAL (forwarded_to (&f), 5);
  fixture_ended (&f, exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST,
                 FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_PEER_LOST));
  fixture_tick (&f, 1, FIXTURE_START + 10000000);
  CU_ASSERT_EQUAL (forwarded_to (&f), 0);
  fixture_end (&f);
}

/* A request that may have run in one of its attempts is never answered as not
   run, however its last attempt ends.  */
static void
test_unknown_is_kept (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_IDEMPOTENT);
  struct handle exchange;
  gint64 now = FIXTURE_START;

  fixture_begin (&f, "desk");
  exchange = fixture_arrive (&f, &request, now);
  fixture_ended (&f, exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST, now);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_ANSWER));
  now += 1000000;
  fixture_tick (&f, 1, now);
  CU_ASSERT_NOT_EQUAL (forwarded_to (&f), 0);
  fixture_ended (&f, exchange, OUTCOME_NOT_RUN, REASON_OVERLOAD, now);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_OVERLOAD));
  fixture_end (&f);
}

/* If the owner cannot be reached the successor is tried, which knows whether
   it serves in the owner's place; then the owner again.  */
static void
test_successor_is_tried (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_ONCE);
  struct handle exchange;
  gint64 now = FIXTURE_START;

  fixture_begin (&f, "desk");
  exchange = fixture_arrive (&f, &request, now);
  fixture_ended (&f, exchange, OUTCOME_NOT_RUN, REASON_PEER_LOST, now);
  now += 1000000;
  fixture_tick (&f, 1, now);
  CU_ASSERT_EQUAL (forwarded_to (&f), 6);
  fixture_ended (&f, exchange, OUTCOME_NOT_RUN, REASON_NOT_OWNER, now);
  now += 1000000;
  fixture_tick (&f, 1, now);
  CU_ASSERT_EQUAL (forwarded_to (&f), 5);
  fixture_end (&f);
}

/* Have the core read a record of KIND, planned with EPOCH, that gives the
   slice of far to node 5 with the successors 6 and 7.  */
static void
change_successors (struct fixture *f, enum record_kind kind, guint64 epoch)
{
  struct record record = { .kind = kind };
  struct record_slice slice
      = { .owner = 5, .successors = { 6, 7 }, .epoch = epoch };

  g_strlcpy (record.body.slices.service, "far", NAME_SIZE);
  record.body.slices.count = 1;
  record.body.slices.items = &slice;
  fixture_record (f, &record, FIXTURE_START);
}

/* A forwarded request carries the address where callers reach that node, so
   that the callers can send their next request there.  */
static void
test_address_hint (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_IDEMPOTENT);
  const struct action *action;

  fixture_begin (&f, "desk");
  fixture_arrive (&f, &request, FIXTURE_START);
  action = fixture_find (&f, ACTION_FORWARD);
  CU_ASSERT_TRUE (action != NULL
                  && action->u.forward.caller_address.port == 205);
  fixture_end (&f);
}

/* If the first successor is removed, the second one is tried.  */
static void
test_second_successor (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_ONCE);
  struct record removed = { .kind = RECORD_REMOVED };
  const struct view_slice *slice;
  struct handle exchange;

  fixture_begin (&f, "desk");
  fixture_join (&f, 7, "far");
  slice = view_slice_at (view_find_service (&f.core.view, "far"), 0);
  change_successors (&f, RECORD_MOVE, slice->epoch);
  change_successors (&f, RECORD_MOVED, slice->move_offset);
  removed.body.removed.incarnation = 6;
  fixture_record (&f, &removed, FIXTURE_START);
  exchange = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_EQUAL (forwarded_to (&f), 5);
  fixture_ended (&f, exchange, OUTCOME_NOT_RUN, REASON_PEER_LOST,
                 FIXTURE_START);
  fixture_tick (&f, 1, FIXTURE_START + 1000000);
  CU_ASSERT_EQUAL (forwarded_to (&f), 7);
  fixture_end (&f);
}

/* After repeated failures of an owner its successor is tried at once.  If the
   breakers of both are open, the request waits and is not sent.  */
static void
test_breaker (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_ONCE);
  guint i;

  fixture_begin (&f, "desk");
  for (i = 0; i < 5; i++)
    {
      struct handle exchange = fixture_arrive (&f, &request, FIXTURE_START);
      CU_ASSERT_EQUAL (forwarded_to (&f), 5);
      fixture_ended (&f, exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST,
                     FIXTURE_START);
    }
  for (i = 0; i < 5; i++)
    {
      struct handle exchange = fixture_arrive (&f, &request, FIXTURE_START);
      CU_ASSERT_EQUAL (forwarded_to (&f), 6);
      fixture_ended (&f, exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST,
                     FIXTURE_START);
    }
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_EQUAL (forwarded_to (&f), 0);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_ANSWER));
  fixture_tick (&f, 1, FIXTURE_START + 1000000);
  CU_ASSERT_EQUAL (forwarded_to (&f), 5);
  fixture_end (&f);
}

/* A member whose server is down is not tried again while there is another one,
   and after five such answers not by other requests either.  */
static void
test_member_without_server (void)
{
  struct fixture f;
  struct request request = long_request ("pay", RUN_IDEMPOTENT);
  struct handle exchange;
  gint64 now = FIXTURE_START;
  guint64 first;
  guint i;

  fixture_begin (&f, "desk");
  exchange = fixture_arrive (&f, &request, now);
  first = forwarded_to (&f);
  fixture_ended (&f, exchange, OUTCOME_NOT_RUN, REASON_SERVER_DOWN, now);
  now += 1000000;
  f.core.round_robin_count = 0;
  fixture_tick (&f, 1, now);
  CU_ASSERT_EQUAL (forwarded_to (&f), first == 3 ? 4 : 3);
  for (i = 0; i < 20; i++)
    {
      exchange = fixture_arrive (&f, &request, now);
      if (forwarded_to (&f) == first)
        fixture_ended (&f, exchange, OUTCOME_UNKNOWN, REASON_SERVER_DOWN, now);
    }
  fixture_arrive (&f, &request, now);
  CU_ASSERT_NOT_EQUAL (forwarded_to (&f), first);
  fixture_arrive (&f, &request, now);
  CU_ASSERT_NOT_EQUAL (forwarded_to (&f), first);
  fixture_end (&f);
}

/* Once the retry budget is spent, attempts that cost a server are not
   repeated.  */
static void
test_budget_runs_out (void)
{
  struct fixture f;
  struct request request = long_request ("far", RUN_IDEMPOTENT);
  guint waiting = 0;
  guint i;

  fixture_begin (&f, "desk");
  for (i = 0; i < 100; i++)
    {
      struct handle exchange = fixture_arrive (&f, &request, FIXTURE_START);
      fixture_ended (&f, exchange, OUTCOME_NOT_RUN, REASON_LEASE_EXPIRED,
                     FIXTURE_START);
      if (fixture_find (&f, ACTION_ANSWER) == NULL)
        waiting++;
    }
  CU_ASSERT_TRUE (waiting >= 20 && waiting <= 32);
  fixture_end (&f);
}

/* A request that waits in the queue while the lease expires is not run.  */
static void
test_lease_expires_in_queue (void)
{
  struct fixture f;
  struct request request = long_request ("desk", RUN_IDEMPOTENT);
  struct handle first;

  fixture_begin (&f, "desk");
  request.forwarded = TRUE;
  first = fixture_arrive (&f, &request, FIXTURE_START);
  fixture_arrive (&f, &request, FIXTURE_START);
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_RUN));
  f.core.lease.expires_at = FIXTURE_START + 1;
  fixture_ended (&f, first, OUTCOME_DONE, REASON_NONE, FIXTURE_START + 2);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_RUN));
  CU_ASSERT_TRUE (
      fixture_answered (&f, OUTCOME_NOT_RUN, REASON_LEASE_EXPIRED));
  CU_ASSERT_EQUAL (f.core.admission.busy_slots, 1);
  fixture_end (&f);
}

/* If a caller disconnects its request is cancelled, and its slot goes to the
   next one in the queue.  */
static void
test_caller_disconnects (void)
{
  struct fixture f;
  struct request request = long_request ("desk", RUN_IDEMPOTENT);
  struct event disconnected = { .kind = EVENT_DISCONNECTED };

  fixture_begin (&f, "desk");
  disconnected.u.disconnected.exchange
      = fixture_arrive (&f, &request, FIXTURE_START);
  fixture_arrive (&f, &request, FIXTURE_START);
  fixture_arrive (&f, &request, FIXTURE_START);
  fixture_step (&f, &disconnected, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_CANCEL));
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_ended (&f, disconnected.u.disconnected.exchange, OUTCOME_DONE,
                 REASON_NONE, FIXTURE_START);
  CU_ASSERT_EQUAL (f.core.admission.busy_slots, 2);
  fixture_end (&f);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "once unknown ends", test_once_unknown_ends },
          { "unknown is kept", test_unknown_is_kept },
          { "successor is tried", test_successor_is_tried },
          { "address hint", test_address_hint },
          { "second successor", test_second_successor },
          { "breaker", test_breaker },
          { "member without server", test_member_without_server },
          { "budget runs out", test_budget_runs_out },
          { "lease expires in queue", test_lease_expires_in_queue },
          { "caller disconnects", test_caller_disconnects },
          CU_TEST_INFO_NULL };

  return suite_run ("route", tests);
}

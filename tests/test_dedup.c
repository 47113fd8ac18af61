#include "tests/request_fixture.h"

/* Send REQUEST without a stamp, which is refused, and set the stamp that the
   refusal offers.  */
static void
obtain_stamp (struct fixture *f, struct request *request, gint64 now)
{
  const struct action *action;

  fixture_arrive (f, request, now);
  CU_ASSERT_TRUE (fixture_answered (f, OUTCOME_NOT_RUN, REASON_NO_STAMP));
  CU_ASSERT_PTR_NULL (fixture_find (f, ACTION_RUN));
  action = fixture_find (f, ACTION_ANSWER);
  if (action != NULL)
    request->stamp = action->u.answer.stamp;
}

/* A run-once request without an id is refused and has not run.  */
static void
test_no_id (void)
{
  struct fixture f;
  struct request request = fixture_request ("desk", "k", "");

  fixture_begin (&f, "desk");
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_BAD_REQUEST));
  fixture_end (&f);
}

/* A request runs under its stamp, and never again: not while it runs, not
   after its answer, and not if its outcome was lost.  */
static void
test_runs_once (void)
{
  struct fixture f;
  struct request request = fixture_request ("desk", "k", "a");
  struct handle first;

  fixture_begin (&f, "desk");
  obtain_stamp (&f, &request, FIXTURE_START);
  CU_ASSERT_EQUAL (request.stamp.clock_incarnation, 1);
  first = fixture_arrive (&f, &request, FIXTURE_START + 1);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_arrive (&f, &request, FIXTURE_START + 2);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_DUPLICATE));
  fixture_ended (&f, first, OUTCOME_DONE, REASON_NONE, FIXTURE_START + 3);
  fixture_arrive (&f, &request, FIXTURE_START + 4);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_DUPLICATE));
  request.stamp.time_usec = 0;
  fixture_arrive (&f, &request, FIXTURE_START + 5);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_DUPLICATE));
  fixture_end (&f);
}

/* A request whose attempt provably has not run may still run.  */
static void
test_not_run_may_run (void)
{
  struct fixture f;
  struct request request = fixture_request ("desk", "k", "a");
  struct handle first;

  fixture_begin (&f, "desk");
  obtain_stamp (&f, &request, FIXTURE_START);
  first = fixture_arrive (&f, &request, FIXTURE_START);
  fixture_ended (&f, first, OUTCOME_NOT_RUN, REASON_OVERLOAD, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_OVERLOAD));
  first = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_ended (&f, first, OUTCOME_UNKNOWN, REASON_SERVER_DOWN,
                 FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_SERVER_DOWN));
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_DUPLICATE));
  fixture_end (&f);
}

/* A request never runs with a stamp of another incarnation, of another grant,
   from the future, or older than ids are kept.  */
static void
test_old_stamps (void)
{
  struct fixture f;
  struct request request = fixture_request ("desk", "k", "a");
  struct stamp good;

  fixture_begin (&f, "desk");
  obtain_stamp (&f, &request, FIXTURE_START);
  good = request.stamp;
  request.stamp.clock_incarnation = 9;
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_OLD_STAMP));
  request.stamp = good;
  request.stamp.fence.offset++;
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_OLD_STAMP));
  request.stamp = good;
  request.stamp.time_usec++;
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_OLD_STAMP));
  request.stamp = good;
  request.deadline = G_MAXINT64;
  fixture_arrive (&f, &request, FIXTURE_START + dedup_retention (3000));
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_OLD_STAMP));
  fixture_arrive (&f, &request, FIXTURE_START + dedup_retention (3000) - 1);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_RUN));
  fixture_end (&f);
}

/* A stamp of an unsharded service leads to the node that issued it; after the
   removal of that node the request is refused as unknown.  */
static void
test_unsharded_follows_stamp (void)
{
  struct fixture f;
  struct request request = fixture_request ("pay", "", "a");
  struct record removed = { .kind = RECORD_REMOVED };
  const struct action *action;

  fixture_begin (&f, "pay");
  request.stamp.clock_incarnation = 4;
  request.stamp.time_usec = 7;
  fixture_arrive (&f, &request, FIXTURE_START);
  action = fixture_find (&f, ACTION_FORWARD);
  CU_ASSERT_PTR_NOT_NULL (action);
  CU_ASSERT_TRUE (action != NULL && action->u.forward.peer_incarnation == 4);
  request.forwarded = TRUE;
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NULL (fixture_find (&f, ACTION_RUN));
  request.forwarded = FALSE;
  removed.body.removed.incarnation = 4;
  fixture_record (&f, &removed, FIXTURE_START);
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_UNKNOWN, REASON_OLD_STAMP));
  fixture_end (&f);
}

/* The deduplication table is bounded: a full table refuses requests, and drops
   no id early.  */
static void
test_full_table (void)
{
  struct fixture f;
  struct request request = fixture_request ("desk", "k", "a");
  struct handle first;
  gint64 later = FIXTURE_START + dedup_retention (3000) + 1;

  fixture_begin (&f, "desk");
  f.core.dedup.entries_max = 1;
  obtain_stamp (&f, &request, FIXTURE_START);
  first = fixture_arrive (&f, &request, FIXTURE_START);
  fixture_ended (&f, first, OUTCOME_DONE, REASON_NONE, FIXTURE_START);
  g_strlcpy (request.id, "b", sizeof request.id);
  fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_TRUE (fixture_answered (&f, OUTCOME_NOT_RUN, REASON_OVERLOAD));
  fixture_tick (&f, 0, later);
  CU_ASSERT_EQUAL (f.core.dedup.entries.count, 0);
  fixture_end (&f);
}

/* A stamp that another node offers is passed on to the caller.  */
static void
test_stamp_is_passed_on (void)
{
  struct fixture f;
  struct request request = fixture_request ("far", "k", "a");
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };
  const struct action *action;

  fixture_begin (&f, "desk");
  event.u.attempt_ended.exchange
      = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_PTR_NOT_NULL (fixture_find (&f, ACTION_FORWARD));
  event.u.attempt_ended.outcome = OUTCOME_NOT_RUN;
  event.u.attempt_ended.reason = REASON_NO_STAMP;
  event.u.attempt_ended.stamp.clock_incarnation = 2;
  event.u.attempt_ended.stamp.time_usec = 77;
  fixture_step (&f, &event, FIXTURE_START);
  action = fixture_find (&f, ACTION_ANSWER);
  CU_ASSERT_TRUE (action != NULL && action->u.answer.stamp.time_usec == 77);
  fixture_end (&f);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "no id", test_no_id },
          { "runs once", test_runs_once },
          { "not run may run", test_not_run_may_run },
          { "old stamps", test_old_stamps },
          { "unsharded follows stamp", test_unsharded_follows_stamp },
          { "full table", test_full_table },
          { "stamp is passed on", test_stamp_is_passed_on },
          CU_TEST_INFO_NULL };

  return suite_run ("dedup", tests);
}

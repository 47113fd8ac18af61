#include "decide/retry.h"

#include "decide/timing.h"
#include "tests/suite.h"

/* The end of an attempt whose body can be sent again.  */
static struct event_attempt_ended
ended (enum outcome outcome, enum reason reason)
{
  struct event_attempt_ended event
      = { .outcome = outcome, .reason = reason, .body_replayable = TRUE };

  return event;
}

/* What must run once is sent again only on proof that it has not run.  */
static void
test_once_needs_proof (void)
{
  struct request request = { .run_class = RUN_ONCE };
  struct event_attempt_ended event = ended (OUTCOME_UNKNOWN, REASON_PEER_LOST);

  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
  request.run_class = RUN_IDEMPOTENT;
  CU_ASSERT_TRUE (retry_is_safe (&request, &event));
  event.body_replayable = FALSE;
  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
  event = ended (OUTCOME_NOT_RUN, REASON_PEER_LOST);
  request.run_class = RUN_ONCE;
  CU_ASSERT_TRUE (retry_is_safe (&request, &event));
  event.reason = REASON_OVERLOAD;
  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
}

/* A request that may have crashed a server is not brought to the next.  */
static void
test_no_retry_after_crash (void)
{
  struct request request = { .run_class = RUN_IDEMPOTENT };
  struct event_attempt_ended event
      = ended (OUTCOME_UNKNOWN, REASON_SERVER_DOWN);

  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
  event.outcome = OUTCOME_NOT_RUN;
  CU_ASSERT_TRUE (retry_is_safe (&request, &event));
}

/* A request that another node passed on is never sent again.  */
static void
test_no_retry_of_retries (void)
{
  struct request request = { .forwarded = TRUE };
  struct event_attempt_ended event = ended (OUTCOME_NOT_RUN, REASON_NOT_OWNER);

  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
}

/* A stamped request of an undivided service does not go back to the one node
   that may run it while that one leaves.  */
static void
test_bound_to_leaving_node (void)
{
  struct request request
      = { .run_class = RUN_ONCE, .stamp = { .time_usec = 1 } };
  struct event_attempt_ended event = ended (OUTCOME_NOT_RUN, REASON_DRAINING);

  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
  request.stamp.time_usec = 0;
  CU_ASSERT_TRUE (retry_is_safe (&request, &event));
}

/* Retries are a tenth of the requests in the long run.  */
static void
test_budget_is_a_share (void)
{
  struct retry_budget budget;
  guint paid = 0;
  guint i;

  retry_budget_init (&budget);
  while (retry_budget_spend (&budget))
    continue;
  for (i = 0; i < 1000; i++)
    {
      retry_budget_earn (&budget);
      if (retry_budget_spend (&budget))
        paid++;
    }
  CU_ASSERT_EQUAL (paid, 100);
}

/* An attempt that reached no node is not charged; any other is.  */
static void
test_charge (void)
{
  struct event_attempt_ended event = ended (OUTCOME_NOT_RUN, REASON_PEER_LOST);

  CU_ASSERT_FALSE (retry_is_charged (&event));
  event.outcome = OUTCOME_UNKNOWN;
  CU_ASSERT_TRUE (retry_is_charged (&event));
  event = ended (OUTCOME_NOT_RUN, REASON_NOT_OWNER);
  CU_ASSERT_TRUE (retry_is_charged (&event));
}

/* Waits grow, within their bounds, whatever is drawn.  */
static void
test_wait (void)
{
  guint32 tries;

  for (tries = 1; tries < RETRY_ATTEMPTS_MAX; tries++)
    {
      gint64 longest = retry_delay (tries, 0);
      gint64 shortest = retry_delay (tries, (guint64)(longest / 2) - 1);
      CU_ASSERT_TRUE (longest >= retry_delay (tries - 1, 0));
      CU_ASSERT_EQUAL (shortest, longest / 2 + 1);
    }
  CU_ASSERT_EQUAL (retry_delay (1, 0), 2 * RETRY_AFTER_USEC);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "once needs proof", test_once_needs_proof },
          { "no retry after a crash", test_no_retry_after_crash },
          { "no retry of retries", test_no_retry_of_retries },
          { "bound to a leaving node", test_bound_to_leaving_node },
          { "budget is a share", test_budget_is_a_share },
          { "charge", test_charge },
          { "wait", test_wait },
          CU_TEST_INFO_NULL };

  return suite_run ("retry", tests);
}

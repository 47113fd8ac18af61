#include "decide/retry.h"

#include "decide/timing.h"
#include "tests/suite.h"

/* Return the end of an attempt whose body can be sent again.  */
static struct event_attempt_ended
ended (enum outcome outcome, enum reason reason)
{
  struct event_attempt_ended event
      = { .outcome = outcome, .reason = reason, .body_replayable = TRUE };

  return event;
}

/* A run-once request is sent again only if it provably has not run.  */
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

/* A request that may have crashed a server is not sent to another one.  */
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

/* A request that another node forwarded is never sent again.  */
static void
test_no_retry_of_retries (void)
{
  struct request request = { .forwarded = TRUE };
  struct event_attempt_ended event = ended (OUTCOME_NOT_RUN, REASON_NOT_OWNER);

  CU_ASSERT_FALSE (retry_is_safe (&request, &event));
}

/* A stamped request of an unsharded service is not sent again to the only node
   that may run it while that node leaves.  */
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

/* In the long run retries are limited to a tenth of the requests.  */
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

/* An attempt that reached no node is not charged to the budget; any other
   is.  */
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

/* Delays grow with each attempt and stay within their bounds for any random
   number.  */
static void
test_delay (void)
{
  guint32 attempts;

  for (attempts = 1; attempts < RETRY_ATTEMPTS_MAX; attempts++)
    {
      gint64 longest = retry_delay (attempts, 0);
      gint64 shortest = retry_delay (attempts, (guint64)(longest / 2) - 1);
      CU_ASSERT_TRUE (longest >= retry_delay (attempts - 1, 0));
      CU_ASSERT_EQUAL (shortest, longest / 2 + 1);
    }
  CU_ASSERT_EQUAL (retry_delay (1, 0), 2 * RETRY_DELAY_USEC);
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
          { "delay", test_delay },
          CU_TEST_INFO_NULL };

  return suite_run ("retry", tests);
}

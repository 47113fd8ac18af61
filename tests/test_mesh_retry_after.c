#include "tests/mesh_fixture.h"

/* When callers of refused requests are told to return.  The callers of the
   fixture have 2 s, the routes allow 1 s.  */

/* Let the only server of OTHER_SERVICE refuse a request with the advice
   ADVICE_MSEC, AFTER_MSEC after its arrival, and return the advice to the
   caller.  */
static guint32
advice_to_caller (guint32 advice_msec, gint64 after_msec)
{
  struct fixture *fixture = fixture_new ();
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };
  const struct action *action;
  guint32 told = 0;

  event.u.attempt_ended.exchange = send_request (fixture, "/other/x");
  event.u.attempt_ended.outcome = OUTCOME_NOT_RUN;
  event.u.attempt_ended.reason = REASON_OVERLOAD;
  event.u.attempt_ended.retry_after_msec = advice_msec;
  event.u.attempt_ended.body_replayable = TRUE;
  fixture->now += after_msec * MSEC;
  feed_event (fixture, &event);
  action = find_action (fixture, ACTION_ANSWER);
  CU_ASSERT_PTR_NOT_NULL (action);
  if (action != NULL)
    told = action->u.answer.retry_after_msec;
  fixture_free (fixture);
  return told;
}

/* Guards against advice that callers do not follow: they wait for a third of
   their time.  A time after their deadline is told as it is.  */
static void
test_advice_is_bounded (void)
{
  CU_ASSERT_EQUAL (advice_to_caller (300, 0), 300);
  CU_ASSERT_EQUAL (advice_to_caller (1500, 0), 666);
  CU_ASSERT_EQUAL (advice_to_caller (700, 800), 400);
  CU_ASSERT_EQUAL (advice_to_caller (0, 0), 250);
  CU_ASSERT_EQUAL (advice_to_caller (0, 1700), 100);
  CU_ASSERT_EQUAL (advice_to_caller (0, 1970), 10);
  CU_ASSERT_EQUAL (advice_to_caller (2500, 0), 2500);
}

/* Guards against callers that return together to a full server: those refused
   at one moment are told different times, within a third of their time.  */
static void
test_advice_is_spread (void)
{
  struct fixture *fixture = fixture_new ();
  guint32 previous = 0;
  guint i;

  fixture->mesh.admission.busy_slots = fixture->mesh.admission.slots;
  fixture->mesh.admission.queue_max = 0;
  fixture->mesh.admission.limiter.mean_run_usec = 100 * MSEC;
  for (i = 0; i < 20; i++)
    {
      const struct action *action;
      send_request (fixture, "/own/x");
      action = find_action (fixture, ACTION_ANSWER);
      CU_ASSERT_PTR_NOT_NULL_FATAL (action);
      if (action == NULL)
        break;
      CU_ASSERT_NOT_EQUAL (action->u.answer.retry_after_msec, previous);
      CU_ASSERT_TRUE (action->u.answer.retry_after_msec <= 666);
      CU_ASSERT_TRUE (action->u.answer.retry_after_msec >= 50);
      previous = action->u.answer.retry_after_msec;
    }
  fixture->mesh.admission.busy_slots = 0;
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "advice is bounded", test_advice_is_bounded },
                          { "advice is spread", test_advice_is_spread },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_retry_after", tests);
}

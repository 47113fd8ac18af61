#include "decide/breaker.h"

#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* Report COUNT failed requests at NOW.  Return whether the last one opened the
   breaker.  */
static gboolean
fail_requests (struct breaker *breaker, guint count, gint64 now)
{
  gboolean changed = FALSE;

  for (; count > 0; count--)
    changed = breaker_on_result (breaker, BREAKER_FAILURE, now);
  return changed;
}

/* Five consecutive failures open the breaker; a success in between resets the
   count.  */
static void
test_opens (void)
{
  struct breaker breaker = { 0 };

  CU_ASSERT_FALSE (fail_requests (&breaker, 4, SECOND));
  breaker_on_result (&breaker, BREAKER_SUCCESS, SECOND);
  CU_ASSERT_FALSE (fail_requests (&breaker, 4, SECOND));
  CU_ASSERT_TRUE (breaker_allows (&breaker, SECOND));
  CU_ASSERT_TRUE (fail_requests (&breaker, 1, SECOND));
  CU_ASSERT_FALSE (breaker_allows (&breaker, SECOND));
}

/* When the open time is over one probe request is allowed, and its result
   decides.  */
static void
test_probe (void)
{
  struct breaker breaker = { 0 };
  gint64 open;

  fail_requests (&breaker, 5, SECOND);
  open = breaker.blocked_until - SECOND;
  CU_ASSERT_TRUE (breaker_allows (&breaker, SECOND + open));
  breaker_on_sent (&breaker, SECOND + open);
  CU_ASSERT_FALSE (breaker_allows (&breaker, SECOND + open));
  CU_ASSERT_FALSE (fail_requests (&breaker, 1, SECOND + open));
  CU_ASSERT_EQUAL (breaker.blocked_until, SECOND + open + 2 * open);
  breaker_on_sent (&breaker, breaker.blocked_until);
  CU_ASSERT_TRUE (
      breaker_on_result (&breaker, BREAKER_SUCCESS, breaker.blocked_until));
  CU_ASSERT_TRUE (breaker_allows (&breaker, 0));
}

/* Failures of requests that were sent before the breaker opened do not extend
   the open time, and a probe that never ends does not block the node for
   good.  */
static void
test_late_failures (void)
{
  struct breaker breaker = { 0 };
  gint64 until;

  fail_requests (&breaker, 5, SECOND);
  until = breaker.blocked_until;
  fail_requests (&breaker, 50, SECOND);
  CU_ASSERT_EQUAL (breaker.blocked_until, until);
  breaker_on_sent (&breaker, until);
  CU_ASSERT_TRUE (breaker_allows (&breaker, until + SECOND));
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "opens", test_opens },
                                 { "probe", test_probe },
                                 { "late failures", test_late_failures },
                                 CU_TEST_INFO_NULL };

  return suite_run ("breaker", tests);
}

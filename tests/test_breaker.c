#include "decide/breaker.h"

#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* Lose COUNT requests at NOW; return whether the last one opened it.  */
static gboolean
lose (struct breaker *breaker, guint count, gint64 now)
{
  gboolean changed = FALSE;

  for (; count > 0; count--)
    changed = breaker_on_result (breaker, BREAKER_FAILURE, now);
  return changed;
}

/* Five failures in a row open it; an answer between starts again.  */
static void
test_opens (void)
{
  struct breaker breaker = { 0 };

  CU_ASSERT_FALSE (lose (&breaker, 4, SECOND));
  breaker_on_result (&breaker, BREAKER_SUCCESS, SECOND);
  CU_ASSERT_FALSE (lose (&breaker, 4, SECOND));
  CU_ASSERT_TRUE (breaker_allows (&breaker, SECOND));
  CU_ASSERT_TRUE (lose (&breaker, 1, SECOND));
  CU_ASSERT_FALSE (breaker_allows (&breaker, SECOND));
}

/* After its time one request passes, and its end decides.  */
static void
test_tries (void)
{
  struct breaker breaker = { 0 };
  gint64 open;

  lose (&breaker, 5, SECOND);
  open = breaker.blocked_until - SECOND;
  CU_ASSERT_TRUE (breaker_allows (&breaker, SECOND + open));
  breaker_on_sent (&breaker, SECOND + open);
  CU_ASSERT_FALSE (breaker_allows (&breaker, SECOND + open));
  CU_ASSERT_FALSE (lose (&breaker, 1, SECOND + open));
  CU_ASSERT_EQUAL (breaker.blocked_until, SECOND + open + 2 * open);
  breaker_on_sent (&breaker, breaker.blocked_until);
  CU_ASSERT_TRUE (
      breaker_on_result (&breaker, BREAKER_SUCCESS, breaker.blocked_until));
  CU_ASSERT_TRUE (breaker_allows (&breaker, 0));
}

/* Requests that were on their way when it opened do not lengthen its time,
   and one that never ends does not keep it shut.  */
static void
test_late_ends (void)
{
  struct breaker breaker = { 0 };
  gint64 until;

  lose (&breaker, 5, SECOND);
  until = breaker.blocked_until;
  lose (&breaker, 50, SECOND);
  CU_ASSERT_EQUAL (breaker.blocked_until, until);
  breaker_on_sent (&breaker, until);
  CU_ASSERT_TRUE (breaker_allows (&breaker, until + SECOND));
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "opens", test_opens },
                                 { "tries", test_tries },
                                 { "late ends", test_late_ends },
                                 CU_TEST_INFO_NULL };

  return suite_run ("breaker", tests);
}

#include "decide/link_rate.h"

#include "types/limits.h"

#include "tests/suite.h"

#define PART ((gsize)24576)
#define SECOND ((gint64)USEC_PER_SEC)
#define MSEC ((gint64)USEC_PER_MSEC)

/* Guards against a link that is filled by long responses: while more of them
   wait than it carries, what is sent in a second leaves room for others, and
   never much more than the interval of the timer is ahead.  */
static void
test_share (void)
{
  struct link_rate rate = { 0 };
  guint64 sent = 0;
  gint64 now = SECOND;

  link_rate_set (&rate, 10);
  for (; now < 2 * SECOND; now += 25 * MSEC)
    while (link_rate_may_send (&rate, now))
      {
        link_rate_take (&rate, PART, now);
        sent += PART;
        CU_ASSERT_TRUE (rate.sent_until <= now + 60 * MSEC);
      }
  CU_ASSERT_TRUE (sent >= 1000000);
  CU_ASSERT_TRUE (sent <= 1125000);
}

/* Guards against time without long responses that is saved up for more of them
   later.  */
static void
test_idle (void)
{
  struct link_rate rate = { 0 };
  guint64 sent = 0;

  link_rate_set (&rate, 10);
  link_rate_take (&rate, PART, SECOND);
  while (link_rate_may_send (&rate, 60 * SECOND))
    {
      link_rate_take (&rate, PART, 60 * SECOND);
      sent += PART;
    }
  CU_ASSERT_TRUE (sent <= 3 * PART);
}

/* Guards against responses that wait although the link's rate is not known. */
static void
test_unknown (void)
{
  struct link_rate rate = { 0 };

  link_rate_set (&rate, 0);
  link_rate_take (&rate, 100 * PART, SECOND);
  CU_ASSERT_TRUE (link_rate_may_send (&rate, SECOND));
}

int
main (void)
{
  CU_TestInfo tests[] = { { "the share of long responses", test_share },
                          { "a link that was idle", test_idle },
                          { "a rate that is not known", test_unknown },
                          CU_TEST_INFO_NULL };

  return suite_run ("link_rate", tests);
}

#include "tests/suite.h"
#include "types/limits.h"
#include "types/transit.h"

#include <string.h>

/* Delays of messages by clocks that differ.  */

#define OFFSET_USEC ((gint64)-123456789) /* clock here less the peer's */
#define WAY_USEC ((gint64)700)           /* fastest way of a message */

/* Return the delay of a message that took DELAY_USEC longer than the fastest
   and arrives at NOW, by clocks that drift apart by DRIFT_PPM.  */
static gint64
delay_of (struct transit *transit, gint64 delay_usec, gint64 now, gint64 drift)
{
  gint64 offset = OFFSET_USEC + now / USEC_PER_SEC * drift;

  return transit_delay_usec (transit, now - offset - WAY_USEC - delay_usec,
                             now);
}

/* Guards against a delay that is not seen, or is seen where there is none.  */
static void
test_delays (void)
{
  struct transit transit = { 0 };
  gint64 now = 5 * (gint64)USEC_PER_SEC;

  CU_ASSERT_EQUAL (delay_of (&transit, 0, now, 0), 0);
  CU_ASSERT_EQUAL (delay_of (&transit, 40, now + 1000, 0), 40);
  now += 6 * (gint64)USEC_PER_SEC;
  CU_ASSERT_EQUAL (delay_of (&transit, 6000000, now, 0), 6000000);
  CU_ASSERT_EQUAL (delay_of (&transit, 5000000, now, 0), 5000000);
  now += 25 * (gint64)USEC_PER_SEC;
  CU_ASSERT_EQUAL (delay_of (&transit, 700000, now, 0), 700000);
}

/* Guards against a first message that is slow, and against one after a long
   silence: nothing is known of its delay, and later ones show it.  */
static void
test_slow_first (void)
{
  struct transit transit = { 0 };
  gint64 now = USEC_PER_SEC;

  CU_ASSERT_EQUAL (delay_of (&transit, 900000, now, 0), 0);
  CU_ASSERT_EQUAL (delay_of (&transit, 0, now + 10, 0), 0);
  CU_ASSERT_EQUAL (delay_of (&transit, 900000, now + 20, 0), 900000);
  now += 200 * (gint64)USEC_PER_SEC;
  CU_ASSERT_EQUAL (delay_of (&transit, 50, now, 0), 0);
}

/* Guards against clocks that drift apart: after a day no message counts as
   held up.  */
static void
test_drift (void)
{
  static const gint64 drifts[] = { -100, 100 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (drifts); i++)
    {
      struct transit transit = { 0 };
      gint64 highest = 0;
      gint64 second;
      for (second = 1; second < 86400; second++)
        highest = MAX (
            highest, delay_of (&transit, 0, second * USEC_PER_SEC, drifts[i]));
      CU_ASSERT_TRUE (highest <= 10000);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = { { "delays", test_delays },
                          { "slow first message", test_slow_first },
                          { "drift", test_drift },
                          CU_TEST_INFO_NULL };

  return suite_run ("transit", tests);
}

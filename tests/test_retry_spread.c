#include "decide/retry_spread.h"
#include "tests/admission_replay.h"
#include "tests/suite.h"

/* When refused callers are told to return.  */

#define NOW ((gint64)5000000)

/* Return the advice for a caller of PRIORITY where capacity begins after
   WAIT_MSEC and one more request fits in each INTERVAL_MSEC.  */
static gint64
advise (struct retry_spread *spread, enum priority priority, gint64 wait_msec,
        gint64 interval_msec, gint64 left_msec)
{
  struct retry_query query
      = { .priority = priority,
          .wait_usec = wait_msec * REPLAY_MSEC,
          .interval_usec = interval_msec * REPLAY_MSEC,
          .limit_usec = retry_spread_limit_usec (left_msec * REPLAY_MSEC) };

  return retry_spread_next_usec (spread, &query, NOW) / REPLAY_MSEC;
}

/* Guards against callers that return together, and against callers of lower
   priority that return before those of higher priority.  */
static void
test_order (void)
{
  struct retry_spread spread = { 0 };

  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_LOW, 100, 20, 2500), 100);
  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_LOW, 100, 20, 2500), 120);
  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_HIGH, 100, 20, 2500), 100);
  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_HIGH, 100, 20, 2500), 120);
  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_NORMAL, 100, 20, 2500), 140);
  CU_ASSERT_TRUE (advise (&spread, PRIORITY_LOW, 100, 20, 2500) >= 180);
}

/* Guards against advice that a caller does not follow: it waits for a third of
   its time at most.  Where there is no capacity by then, callers are spread
   over the end of that time, higher priority first.  */
static void
test_limit (void)
{
  struct retry_spread spread = { 0 };
  gint64 total = 0;
  guint i;

  for (i = 0; i < 300; i++)
    {
      gint64 high = advise (&spread, PRIORITY_HIGH, 10000, 20, 1200);
      gint64 low = advise (&spread, PRIORITY_LOW, 10000, 20, 1200);
      CU_ASSERT_TRUE (high >= 200 && high <= 266);
      CU_ASSERT_TRUE (low >= 333 && low <= 400);
      total += low;
    }
  CU_ASSERT_TRUE (total / 300 >= 360 && total / 300 <= 372);
  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_LOW, 10, 1, -5), 0);
}

/* Guards against a moment with almost no capacity that counts for minutes: the
   time that it leaves between callers would keep all later ones from times
   that are near.  */
static void
test_short_of_capacity (void)
{
  struct retry_spread spread = { 0 };

  CU_ASSERT_EQUAL (advise (&spread, PRIORITY_LOW, 100, 140000, 2400), 100);
  CU_ASSERT_EQUAL (spread.next_at[PRIORITY_LOW], NOW + 900 * REPLAY_MSEC);
}

/* What a replay of a burst shows, for each new request.  */
struct burst
{
  double on_time; /* share served within the target of the first attempt */
  double late;    /* share served later */
  double tries;   /* attempts */
};

/* Replay a burst after which callers return as RETURNS says.  */
static struct burst
replay_burst (enum replay_return returns)
{
  struct replay_load load = { .load = 0.8,
                              .burst_load = 1.7,
                              .burst_at = 5000000,
                              .burst_usec = 3000000,
                              .usec = 15000000,
                              .share = { 0.2, 0.4, 0.4 },
                              .returns = returns };
  struct replay_result results[REPLAY_KINDS] = { 0 };
  struct burst burst = { 0 };
  double sent = 0;
  guint32 seed;
  guint i;

  for (seed = 1; seed <= 6; seed++)
    replay_load (&load, seed, 100, results);
  for (i = 0; i < 3; i++)
    {
      sent += results[i].sent;
      burst.on_time += results[i].on_time;
      burst.late += results[i].late;
      burst.tries += results[i].tries;
    }
  burst.on_time /= sent;
  burst.late /= sent;
  burst.tries /= sent;
  printf ("\n    on time %.3f late %.3f tries %.2f ", burst.on_time,
          burst.late, burst.tries);
  return burst;
}

/* Guards against callers that return again and again while the server is full,
   and against callers that never get through.  Compared with callers that do
   not return, and with the advice to return at the next free slot: more
   requests are served, with fewer attempts than the latter.  A node does not
   know of earlier attempts, so that returning callers take places of new ones
   and fewer are served within the target of their first attempt.  */
static void
test_burst (void)
{
  struct burst never = replay_burst (REPLAY_RETURN_NEVER);
  struct burst next = replay_burst (REPLAY_RETURN_NEXT);
  struct burst spread = replay_burst (REPLAY_RETURN_SPREAD);

  CU_ASSERT_TRUE (spread.on_time + spread.late
                  >= never.on_time + never.late + 0.03);
  CU_ASSERT_TRUE (spread.on_time + spread.late >= next.on_time + next.late);
  CU_ASSERT_TRUE (spread.on_time + spread.late / 2
                  >= next.on_time + next.late / 2 - 0.01);
  CU_ASSERT_TRUE (spread.tries <= next.tries * 0.7);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "order", test_order },
                          { "limit", test_limit },
                          { "short of capacity", test_short_of_capacity },
                          { "burst", test_burst },
                          CU_TEST_INFO_NULL };

  return suite_run ("retry_spread", tests);
}

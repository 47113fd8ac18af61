#include "decide/warmup.h"

#include "tests/suite.h"
#include "types/limits.h"

/* The rate of a cold backend server.  */

#define START ((gint64)100000000)
#define SECOND ((gint64)USEC_PER_SEC)
#define MSEC ((gint64)USEC_PER_MSEC)
#define STARTS_MAX 4096u /* starts that a test records */

/* Starts that a server got.  */
struct record
{
  gint64 at[STARTS_MAX]; /* times of the starts */
  guint count;           /* used entries of `at' */
};

/* Start requests from FROM until UNTIL as soon as the rate allows, BURST of
   them at most at a time.  */
static void
start_all (struct warmup *warmup, struct record *record, gint64 from,
           gint64 until, guint burst)
{
  gint64 now;
  guint i;

  for (now = from; now < until; now += MSEC)
    for (i = 0; i < burst && record->count < STARTS_MAX
                && warmup_wait_usec (warmup, 0, now) == 0;
         i++)
      {
        warmup_take (warmup, now);
        record->at[record->count++] = now;
      }
}

/* Return the most starts of RECORD in any second.  */
static guint
most_in_a_second (const struct record *record)
{
  guint most = 0;
  guint i;
  guint j;

  for (i = 0; i < record->count; i++)
    {
      for (j = i; j < record->count && record->at[j] < record->at[i] + SECOND;)
        j++;
      most = MAX (most, j - i);
    }
  return most;
}

/* Guards against a cold server that gets more than its rate in some second,
   with as many callers as there can be; and against one that gets much
   less.  */
static void
test_rate_is_kept (void)
{
  static const guint32 rates[] = { 1, 14, 17, 256 };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (rates); i++)
    {
      struct record record = { .count = 0 };
      struct warmup warmup;
      warmup_init (&warmup, START);
      warmup_set_rate (&warmup, rates[i] * 1000);
      warmup_on_heartbeat (&warmup, 10 * SECOND, START);
      start_all (&warmup, &record, START, START + 10 * SECOND, 1000);
      CU_ASSERT_TRUE (most_in_a_second (&record) <= rates[i]);
      CU_ASSERT_TRUE (record.count >= rates[i] * 8);
    }
}

/* Guards against a node that is restarted beside a cold server and does not
   count what its earlier process sent in the same second.  */
static void
test_restart_of_the_node (void)
{
  struct record record = { .count = 0 };
  struct warmup warmup;

  warmup_init (&warmup, START);
  warmup_set_rate (&warmup, 17000);
  warmup_on_heartbeat (&warmup, 3 * SECOND, START + 20 * MSEC);
  start_all (&warmup, &record, START + 20 * MSEC, START + SECOND, 1000);
  CU_ASSERT_EQUAL (record.count, 0);
}

/* Guards against a server that turns cold just after requests were sent to it
   without a limit: they count towards its first second.  */
static void
test_warm_starts_count (void)
{
  struct record record = { .count = 0 };
  struct warmup warmup;

  warmup_init (&warmup, START - 5 * SECOND);
  warmup_set_rate (&warmup, 17000);
  start_all (&warmup, &record, START, START + MSEC, 15);
  CU_ASSERT_EQUAL (record.count, 15);
  warmup_on_heartbeat (&warmup, 3 * SECOND, START + 2 * MSEC);
  start_all (&warmup, &record, START + 2 * MSEC, START + SECOND, 1000);
  CU_ASSERT_EQUAL (record.count, 17);
}

/* A server that is warm, or whose service names no rate, is not limited; a
   server is warm as soon as its heartbeat says so or its time is over.  */
static void
test_no_limit (void)
{
  struct warmup warmup;

  warmup_init (&warmup, START);
  warmup_on_heartbeat (&warmup, 3 * SECOND, START);
  CU_ASSERT_EQUAL (warmup_wait_usec (&warmup, 1000, START), 0);
  CU_ASSERT_EQUAL (warmup_slots (&warmup, 12, 120 * MSEC, START), 12);
  warmup_set_rate (&warmup, 17000);
  CU_ASSERT_TRUE (warmup_is_cold (&warmup, START + 3 * SECOND - 1));
  CU_ASSERT_FALSE (warmup_is_cold (&warmup, START + 3 * SECOND));
  CU_ASSERT_TRUE (warmup_wait_usec (&warmup, 0, START) > 0);
  CU_ASSERT_EQUAL (warmup_demand (&warmup, 34, START), 2000);
  warmup_on_heartbeat (&warmup, 0, START);
  CU_ASSERT_FALSE (warmup_is_cold (&warmup, START));
  CU_ASSERT_EQUAL (warmup_demand (&warmup, 34, START), 0);
}

/* A server is presumed cold until its next heartbeat, but no longer than it
   can be.  */
static void
test_presumed (void)
{
  struct warmup warmup;

  warmup_init (&warmup, START);
  warmup_set_rate (&warmup, 17000);
  warmup_presume_cold (&warmup, START + 3 * SECOND);
  CU_ASSERT_TRUE (warmup_is_cold (&warmup, START));
  CU_ASSERT_FALSE (warmup_is_cold (&warmup, START + 3 * SECOND));
  warmup_on_heartbeat (&warmup, 0, START + SECOND);
  CU_ASSERT_FALSE (warmup_is_cold (&warmup, START + SECOND));
}

/* The wait that is forecast behind others is the one that they have: a request
   that is told to wait longer than that would be refused for nothing, and one
   that is told less would wait in vain.  */
static void
test_forecast (void)
{
  struct warmup warmup;
  gint64 forecast[40];
  guint started = 0;
  gint64 now;
  guint i;

  warmup_init (&warmup, START - 5 * SECOND);
  warmup_set_rate (&warmup, 17000);
  warmup_on_heartbeat (&warmup, 30 * SECOND, START);
  for (i = 0; i < G_N_ELEMENTS (forecast); i++)
    forecast[i] = START + warmup_wait_usec (&warmup, i, START);
  for (now = START; started < G_N_ELEMENTS (forecast); now += MSEC)
    while (started < G_N_ELEMENTS (forecast)
           && warmup_wait_usec (&warmup, 0, now) == 0)
      {
        warmup_take (&warmup, now);
        CU_ASSERT_TRUE (ABS (now - forecast[started]) <= MSEC);
        started++;
      }
}

/* A start that is taken back frees its place, and refused callers are told to
   return one after the other.  */
static void
test_give_back_and_retry (void)
{
  struct warmup warmup;
  gint64 first;
  guint i;

  warmup_init (&warmup, START - 5 * SECOND);
  warmup_set_rate (&warmup, 2000);
  warmup_on_heartbeat (&warmup, 3 * SECOND, START);
  for (i = 0; i < 2; i++)
    warmup_take (&warmup, START);
  CU_ASSERT_TRUE (warmup_wait_usec (&warmup, 0, START) > 0);
  first = warmup_retry_usec (&warmup, 0, START);
  CU_ASSERT_TRUE (first > 0);
  CU_ASSERT_TRUE (warmup_retry_usec (&warmup, 0, START) > first);
  warmup_give_back (&warmup);
  CU_ASSERT_EQUAL (warmup_wait_usec (&warmup, 0, START), 0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "rate is kept", test_rate_is_kept },
          { "restart of the node", test_restart_of_the_node },
          { "starts while warm count", test_warm_starts_count },
          { "no limit", test_no_limit },
          { "presumed cold", test_presumed },
          { "forecast", test_forecast },
          { "give back and retry", test_give_back_and_retry },
          CU_TEST_INFO_NULL };

  return suite_run ("warmup", tests);
}

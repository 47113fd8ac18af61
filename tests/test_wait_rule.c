#include "tests/admission_replay.h"
#include "tests/suite.h"

#include <string.h>

/* Replays of the loads that decide/wait_rule answers, and what the rule that
   it replaced reached under them: a request was refused if its forecast wait
   was more than half of its time to spare until the target, and waited for at
   most 40 % of the time to its deadline.  */

#define SEEDS 6u

/* Shares of new requests, or of calls, that count as equal: the seeds differ
   by about this.  */
#define EQUAL 0.006

/* Longest time for which requests may be held in vain on average.  The rule
   before refused at once what would miss its target, and held less in vain
   where there is one priority; the rule now lets it wait while it may
   complete.  */
#define VAIN_MSEC_MAX 50

/* What a replay shows, as shares of the new requests unless it says
   otherwise.  */
struct summary
{
  double on_time;       /* served within the target */
  double late;          /* served within the deadline */
  double refused;       /* refused */
  double vain_msec;     /* time held in vain for each request, milliseconds */
  double failed_calls;  /* share of the calls that failed, each with its
                           parent */
  double first_on_time; /* share of priority 0 that was served within the
                           target */
};

/* A load, and the results of the rule before.  */
struct case_of_load
{
  const char *name;
  struct replay_load load;
  struct summary before; /* measured on commit 73689b1 */
};

#define CASE_MIXED                                                            \
  {                                                                           \
    0.2, 0.4, 0.4                                                             \
  }
#define CASE_ONE                                                              \
  {                                                                           \
    0, 1, 0                                                                   \
  }

static const struct case_of_load cases[] = {
  { "0.8 of capacity, three priorities",
    { .load = 0.8, .usec = 30000000, .share = CASE_MIXED },
    { 0.938, 0.047, 0.012, 1.3, 0.021, 0.974 } },
  { "1.1 of capacity, three priorities",
    { .load = 1.1, .usec = 30000000, .share = CASE_MIXED },
    { 0.761, 0.120, 0.109, 30.7, 0.087, 0.975 } },
  { "1.6 of capacity, three priorities",
    { .load = 1.6, .usec = 30000000, .share = CASE_MIXED },
    { 0.529, 0.088, 0.373, 122.9, 0.268, 0.974 } },
  { "0.8, and 1.7 for 3 s, three priorities",
    { .load = 0.8,
      .burst_load = 1.7,
      .burst_at = 5000000,
      .burst_usec = 3000000,
      .usec = 15000000,
      .share = CASE_MIXED },
    { 0.778, 0.058, 0.149, 43.5, 0.134, 0.971 } },
  { "0.8 of capacity, one priority",
    { .load = 0.8, .usec = 30000000, .share = CASE_ONE },
    { 0.946, 0.032, 0.017, 0, 0.001, 0 } },
  { "1.1 of capacity, one priority",
    { .load = 1.1, .usec = 30000000, .share = CASE_ONE },
    { 0.782, 0.081, 0.127, 0.3, 0.001, 0 } },
  { "1.6 of capacity, one priority",
    { .load = 1.6, .usec = 30000000, .share = CASE_ONE },
    { 0.359, 0.216, 0.413, 1.4, 0.003, 0 } },
  { "0.8, and 1.7 for 3 s, one priority",
    { .load = 0.8,
      .burst_load = 1.7,
      .burst_at = 5000000,
      .burst_usec = 3000000,
      .usec = 15000000,
      .share = CASE_ONE },
    { 0.701, 0.117, 0.166, 1.0, 0.001, 0 } },
};

/* Return the summary of RESULTS.  */
static struct summary
summarise (const struct replay_result *results)
{
  struct replay_result all = { 0 };
  struct summary summary = { 0 };
  double calls = 0;
  double failed = 0;
  guint i;

  for (i = 0; i < 3; i++)
    {
      all.sent += results[i].sent;
      all.on_time += results[i].on_time;
      all.late += results[i].late;
      all.refused += results[i].refused;
      all.vain_usec += results[i].vain_usec;
      calls += results[i + 3].sent;
      failed += results[i + 3].sent - results[i + 3].on_time
                - results[i + 3].late;
    }
  summary.on_time = (double)all.on_time / all.sent;
  summary.late = (double)all.late / all.sent;
  summary.refused = (double)all.refused / all.sent;
  summary.vain_msec = (double)all.vain_usec / REPLAY_MSEC / all.sent;
  summary.failed_calls = failed / calls;
  summary.first_on_time
      = results[0].sent > 0 ? (double)results[0].on_time / results[0].sent : 0;
  return summary;
}

/* Return what a request is worth to its caller on average, if a late response
   has LATE of the full value.  */
static double
worth (const struct summary *summary, double late)
{
  return summary->on_time + late * summary->late;
}

/* Print SUMMARY with the name LABEL.  */
static void
print_summary (const char *label, const struct summary *summary)
{
  printf ("    %-7s on time %.3f late %.3f refused %.3f vain_ms %5.1f"
          " failed calls %.3f first on time %.3f\n",
          label, summary->on_time, summary->late, summary->refused,
          summary->vain_msec, summary->failed_calls, summary->first_on_time);
}

/* Guards against refusals of requests that would complete, against a standing
   queue that makes all requests late, and against requests that are held in
   vain: under no load the rule may be worth less to callers than the one
   before.  */
static void
test_loads (void)
{
  guint i;
  guint32 seed;

  printf ("\n");
  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct replay_result results[REPLAY_KINDS] = { 0 };
      struct summary now;
      for (seed = 1; seed <= SEEDS; seed++)
        replay_load (&cases[i].load, seed, 100, results);
      now = summarise (results);
      printf ("  %s\n", cases[i].name);
      print_summary ("before", &cases[i].before);
      print_summary ("now", &now);
      CU_ASSERT_TRUE (worth (&now, 0.5)
                      >= worth (&cases[i].before, 0.5) - EQUAL);
      CU_ASSERT_TRUE (worth (&now, 0.2)
                      >= worth (&cases[i].before, 0.2) - EQUAL);
      CU_ASSERT_TRUE (now.failed_calls
                      <= cases[i].before.failed_calls + EQUAL);
      CU_ASSERT_TRUE (now.vain_msec <= VAIN_MSEC_MAX);
      CU_ASSERT_TRUE (now.first_on_time
                      >= cases[i].before.first_on_time - EQUAL);
    }
}

/* Guards against refusals of requests that have time: a few long runs of
   higher priority that start together are not taken for a lasting overload. */
static void
test_long_runs (void)
{
  struct admission admission;
  struct request request = { .priority = PRIORITY_HIGH,
                             .deadline = REPLAY_START + 20000 * REPLAY_MSEC,
                             .expected_run_usec = 3000 * REPLAY_MSEC };
  enum reason reason;
  guint32 i;

  admission_init (&admission);
  admission_set_slots (&admission, REPLAY_SLOTS, REPLAY_QUEUE);
  for (i = 0; i < REPLAY_SLOTS; i++)
    CU_ASSERT_EQUAL (admission_request (&admission, (struct handle){ i + 1 },
                                        &request, REPLAY_START, &reason),
                     ADMISSION_RUN);
  request.priority = PRIORITY_LOW;
  CU_ASSERT_EQUAL (admission_request (&admission, (struct handle){ i + 1 },
                                      &request, REPLAY_START, &reason),
                   ADMISSION_QUEUE);
  admission_clear (&admission);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "loads", test_loads },
                          { "long runs", test_long_runs },
                          CU_TEST_INFO_NULL };

  return suite_run ("wait_rule", tests);
}

#include "decide/admission.h"

#include "tests/suite.h"

#define START ((gint64)100000000)
#define MSEC ((gint64)1000)

/* Set up admission for a warm server with SLOTS, and a queue of LIMIT
   requests.  */
static void
set_up (struct admission *admission, guint32 slots, guint32 limit)
{
  admission_init (admission);
  admission_on_server_up (admission, slots, START - LIMITER_WARMUP_USEC);
  admission->queue_max = limit;
}

/* Request a slot for the exchange BITS with PRIORITY and DEADLINE.  */
static enum admission_result
request_slot (struct admission *admission, guint32 bits,
              enum priority priority, gint64 deadline, enum reason *reason)
{
  struct request request = { .priority = priority, .deadline = deadline };
  struct handle exchange = { bits };

  return admission_request (admission, exchange, &request, START, reason);
}

/* The queue is ordered by priority and then by deadline.  */
static void
test_order (void)
{
  struct admission admission;
  struct handle next = HANDLE_NONE;
  enum reason reason;
  guint32 order[] = { 4, 3, 2, 1 };
  guint i;

  set_up (&admission, 1, 8);
  CU_ASSERT_EQUAL (
      request_slot (&admission, 9, PRIORITY_LOW, START + 9, &reason),
      ADMISSION_RUN);
  request_slot (&admission, 1, PRIORITY_LOW, START + 10, &reason);
  request_slot (&admission, 2, PRIORITY_NORMAL, START + 30, &reason);
  request_slot (&admission, 3, PRIORITY_NORMAL, START + 20, &reason);
  request_slot (&admission, 4, PRIORITY_HIGH, START + 90, &reason);
  for (i = 0; i < G_N_ELEMENTS (order); i++)
    {
      CU_ASSERT_FALSE (admission_next (&admission, START, &next));
      admission_release (&admission);
      CU_ASSERT_TRUE (admission_next (&admission, START, &next));
      CU_ASSERT_EQUAL (next.bits, order[i]);
    }
  admission_clear (&admission);
}

/* Among equal priorities, the request with the earliest due time runs first,
   regardless of the deadline.  */
static void
test_due_first (void)
{
  struct admission admission;
  struct handle next = HANDLE_NONE;
  struct request request = { .priority = PRIORITY_NORMAL,
                             .deadline = START + 900 * MSEC,
                             .due_at = START + 600 * MSEC };
  struct handle a = { 1 };
  struct handle b = { 2 };
  enum reason reason;

  set_up (&admission, 1, 8);
  request_slot (&admission, 9, PRIORITY_NORMAL, START + 1, &reason);
  admission_request (&admission, a, &request, START, &reason);
  request.deadline = START + 1000 * MSEC;
  request.due_at = START + 150 * MSEC;
  admission_request (&admission, b, &request, START, &reason);
  admission_release (&admission);
  CU_ASSERT_TRUE (admission_next (&admission, START, &next));
  CU_ASSERT_EQUAL (next.bits, b.bits);
  admission_clear (&admission);
}

/* A request that cannot end in time behind the queued ones is refused at once;
   one that runs before them is accepted.  */
static void
test_early_refusal (void)
{
  struct admission admission;
  enum reason reason;
  gint64 tight = START + 150 * MSEC;

  set_up (&admission, 1, 8);
  admission_on_done (&admission, 100 * MSEC);
  request_slot (&admission, 1, PRIORITY_NORMAL, tight, &reason);
  CU_ASSERT_EQUAL (request_slot (&admission, 2, PRIORITY_NORMAL,
                                 START + 250 * MSEC, &reason),
                   ADMISSION_QUEUE);
  CU_ASSERT_EQUAL (request_slot (&admission, 3, PRIORITY_NORMAL,
                                 START + 260 * MSEC, &reason),
                   ADMISSION_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_DEADLINE);
  CU_ASSERT_EQUAL (
      request_slot (&admission, 4, PRIORITY_HIGH, START + 260 * MSEC, &reason),
      ADMISSION_QUEUE);
  CU_ASSERT_EQUAL (admission_retry_msec (&admission, START), 300);
  admission_clear (&admission);
}

/* The queue is bounded, and a server that is down gets no requests.  A request
   of higher priority evicts the last one from a full queue.  */
static void
test_bounds (void)
{
  struct admission admission;
  struct handle evicted = HANDLE_NONE;
  enum reason reason;

  set_up (&admission, 1, 1);
  request_slot (&admission, 1, PRIORITY_NORMAL, START + 1, &reason);
  request_slot (&admission, 2, PRIORITY_NORMAL, START + 1, &reason);
  CU_ASSERT_EQUAL (
      request_slot (&admission, 3, PRIORITY_NORMAL, START + 1, &reason),
      ADMISSION_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_OVERLOAD);
  CU_ASSERT_FALSE (admission_evict (&admission, &evicted));
  CU_ASSERT_EQUAL (
      request_slot (&admission, 4, PRIORITY_HIGH, START + 1, &reason),
      ADMISSION_QUEUE);
  CU_ASSERT_TRUE (admission_evict (&admission, &evicted));
  CU_ASSERT_EQUAL (evicted.bits, 2);
  CU_ASSERT_EQUAL (admission.queue->len, 1);
  CU_ASSERT_FALSE (admission_evict (&admission, &evicted));
  admission.queue_max = 0;
  CU_ASSERT_EQUAL (request_slot (&admission, 5, PRIORITY_HIGH, START, &reason),
                   ADMISSION_REFUSE);
  admission.slots = 0;
  CU_ASSERT_EQUAL (
      request_slot (&admission, 4, PRIORITY_HIGH, START + 1, &reason),
      ADMISSION_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_SERVER_DOWN);
  admission_clear (&admission);
}

/* A server that has just started gets a quarter of its slots, and all of them
   after its warm-up.  A repeated announcement does not restart the
   warm-up.  */
static void
test_slow_start (void)
{
  struct limiter limiter = { 0 };
  struct admission admission;

  limiter_on_up (&limiter, START);
  CU_ASSERT_EQUAL (limiter_slots (&limiter, 20, START), 5);
  CU_ASSERT_EQUAL (
      limiter_slots (&limiter, 20, START + LIMITER_WARMUP_USEC / 3 * 2), 15);
  CU_ASSERT_EQUAL (limiter_slots (&limiter, 20, START + LIMITER_WARMUP_USEC),
                   20);
  CU_ASSERT_EQUAL (limiter_slots (&limiter, 1, START), 1);
  set_up (&admission, 1, 1);
  admission_on_server_up (&admission, 1, START);
  CU_ASSERT_EQUAL (admission.limiter.warmup_until, START);
  admission_clear (&admission);
}

/* Each refusal by the server for lack of slots holds one slot back for a
   while, but never the last one.  */
static void
test_shed (void)
{
  struct limiter limiter = { 0 };

  limiter_on_shed (&limiter, 4, START);
  limiter_on_shed (&limiter, 4, START);
  CU_ASSERT_EQUAL (limiter_slots (&limiter, 4, START), 2);
  CU_ASSERT_EQUAL (limiter_slots (&limiter, 1, START), 1);
  CU_ASSERT_EQUAL (limiter_slots (&limiter, 4, START + 10000 * MSEC), 4);
}

/* Reported load that admission did not cause holds slots back; the effect
   fades with the age of the report.  */
static void
test_report_ages (void)
{
  struct admission admission;
  guint32 given = 0;
  enum reason reason;

  set_up (&admission, 8, 0);
  admission_on_load_report (&admission, 4, START);
  while (request_slot (&admission, 1, PRIORITY_NORMAL, START + 1, &reason)
         == ADMISSION_RUN)
    given++;
  CU_ASSERT_EQUAL (given, 4);
  CU_ASSERT_EQUAL (
      server_load_withheld (&admission.server_load, START + 1000 * MSEC), 2);
  CU_ASSERT_EQUAL (
      server_load_withheld (&admission.server_load, START + 2000 * MSEC), 0);
  admission_on_load_report (&admission, 4, START);
  CU_ASSERT_EQUAL (server_load_withheld (&admission.server_load, START), 0);
  admission_clear (&admission);
}

/* A server that reports full load and still runs requests loses trust; a
   report that agrees with the slots given restores some.  */
static void
test_distrust (void)
{
  struct server_load load;

  server_load_init (&load);
  server_load_on_report (&load, 8, 0, START);
  CU_ASSERT_EQUAL (server_load_withheld (&load, START), 8);
  server_load_on_done (&load, 8);
  server_load_on_done (&load, 8);
  CU_ASSERT_EQUAL (server_load_withheld (&load, START), 2);
  server_load_on_report (&load, 1, 1, START);
  CU_ASSERT_EQUAL (load.trust_percent, 35);
}

/* Count a message that is logged.  */
static void
count_message (const char *domain, GLogLevelFlags level, const char *text,
               gpointer data)
{
  guint *count = data;

  (void)domain;
  (void)text;
  *count += (level & G_LOG_LEVEL_CRITICAL) != 0;
}

/* Guards against the end of a node where a slot is released once too often:
   that is reported, and no slot comes of it.  */
static void
test_release_without_slot (void)
{
  struct admission admission;
  guint messages = 0;
  guint handler;

  admission_init (&admission);
  handler = g_log_set_handler (NULL, G_LOG_LEVEL_CRITICAL, count_message,
                               &messages);
  admission_release (&admission);
  g_log_remove_handler (NULL, handler);
  CU_ASSERT_EQUAL (messages, 1);
  CU_ASSERT_EQUAL (admission.busy_slots, 0);
  admission_clear (&admission);
}

/* Guards against a request that is refused as too late at the moment when a
   slot becomes free for it: nothing is ahead of it any more, so it ends in
   time.  */
static void
test_free_slot (void)
{
  struct admission admission;
  struct handle waiting = { 1 };
  struct handle next = HANDLE_NONE;
  struct request request = { .priority = PRIORITY_NORMAL,
                             .expected_run_usec = 100 * MSEC,
                             .deadline = START + 250 * MSEC };
  enum reason reason;

  set_up (&admission, 1, 8);
  admission.limiter.mean_run_usec = 100 * MSEC;
  request_slot (&admission, 9, PRIORITY_NORMAL, START + 900 * MSEC, &reason);
  CU_ASSERT_EQUAL (
      admission_request (&admission, waiting, &request, START, &reason),
      ADMISSION_QUEUE);
  admission_release (&admission);
  CU_ASSERT_FALSE (
      admission_evict_late (&admission, START + 120 * MSEC, &next));
  CU_ASSERT_TRUE (admission_next (&admission, START + 120 * MSEC, &next));
  CU_ASSERT_EQUAL (next.bits, waiting.bits);
  admission_clear (&admission);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "order", test_order },
          { "due first", test_due_first },
          { "early refusal", test_early_refusal },
          { "bounds", test_bounds },
          { "free slot", test_free_slot },
          { "slow start", test_slow_start },
          { "shed", test_shed },
          { "report ages", test_report_ages },
          { "distrust", test_distrust },
          { "release without a slot", test_release_without_slot },
          CU_TEST_INFO_NULL };

  return suite_run ("admission", tests);
}

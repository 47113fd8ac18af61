#include "decide/gate.h"

#include "tests/suite.h"

#define START ((gint64)100000000)
#define MSEC ((gint64)1000)

/* Set up admission for a warm server with SLOTS, and a queue of LIMIT
   requests.  */
static void
set_up (struct gate *gate, guint32 slots, guint32 limit)
{
  gate_init (gate);
  gate_on_up (gate, slots, START - PACE_COLD_USEC);
  gate->limit = limit;
}

/* Request a slot for the exchange BITS with PRIORITY and DEADLINE.  */
static enum gate_verdict
request_slot (struct gate *gate, guint32 bits, enum priority priority,
              gint64 deadline, enum reason *reason)
{
  struct request request = { .priority = priority, .deadline = deadline };
  struct handle exchange = { bits };

  return gate_admit (gate, exchange, &request, START, reason);
}

/* The queue is ordered by priority and then by deadline.  */
static void
test_order (void)
{
  struct gate gate;
  struct handle next = HANDLE_NONE;
  enum reason reason;
  guint32 order[] = { 4, 3, 2, 1 };
  guint i;

  set_up (&gate, 1, 8);
  CU_ASSERT_EQUAL (request_slot (&gate, 9, PRIORITY_LOW, START + 9, &reason),
                   GATE_RUN);
  request_slot (&gate, 1, PRIORITY_LOW, START + 10, &reason);
  request_slot (&gate, 2, PRIORITY_NORMAL, START + 30, &reason);
  request_slot (&gate, 3, PRIORITY_NORMAL, START + 20, &reason);
  request_slot (&gate, 4, PRIORITY_HIGH, START + 90, &reason);
  for (i = 0; i < G_N_ELEMENTS (order); i++)
    {
      CU_ASSERT_FALSE (gate_next (&gate, START, &next));
      gate_release (&gate);
      CU_ASSERT_TRUE (gate_next (&gate, START, &next));
      CU_ASSERT_EQUAL (next.bits, order[i]);
    }
  gate_clear (&gate);
}

/* Among equal priorities, the earliest due time runs first, regardless of the
   deadline.  */
static void
test_due_first (void)
{
  struct gate gate;
  struct handle next = HANDLE_NONE;
  struct request request = { .priority = PRIORITY_NORMAL,
                             .deadline = START + 900 * MSEC,
                             .due = START + 600 * MSEC };
  struct handle a = { 1 };
  struct handle b = { 2 };
  enum reason reason;

  set_up (&gate, 1, 8);
  request_slot (&gate, 9, PRIORITY_NORMAL, START + 1, &reason);
  gate_admit (&gate, a, &request, START, &reason);
  request.deadline = START + 1000 * MSEC;
  request.due = START + 150 * MSEC;
  gate_admit (&gate, b, &request, START, &reason);
  gate_release (&gate);
  CU_ASSERT_TRUE (gate_next (&gate, START, &next));
  CU_ASSERT_EQUAL (next.bits, b.bits);
  gate_clear (&gate);
}

/* A request that cannot end in time behind the queued ones is refused at once;
   one that runs before them is accepted.  */
static void
test_early_refusal (void)
{
  struct gate gate;
  enum reason reason;
  gint64 tight = START + 150 * MSEC;

  set_up (&gate, 1, 8);
  gate_on_done (&gate, 100 * MSEC);
  request_slot (&gate, 1, PRIORITY_NORMAL, tight, &reason);
  CU_ASSERT_EQUAL (
      request_slot (&gate, 2, PRIORITY_NORMAL, START + 250 * MSEC, &reason),
      GATE_WAIT);
  CU_ASSERT_EQUAL (
      request_slot (&gate, 3, PRIORITY_NORMAL, START + 260 * MSEC, &reason),
      GATE_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_DEADLINE);
  CU_ASSERT_EQUAL (
      request_slot (&gate, 4, PRIORITY_HIGH, START + 260 * MSEC, &reason),
      GATE_WAIT);
  CU_ASSERT_EQUAL (gate_retry_msec (&gate, START), 300);
  gate_clear (&gate);
}

/* The queue is bounded, and a server that is down gets no requests.  A request
   of higher priority evicts the last one from a full queue.  */
static void
test_bounds (void)
{
  struct gate gate;
  struct handle evicted = HANDLE_NONE;
  enum reason reason;

  set_up (&gate, 1, 1);
  request_slot (&gate, 1, PRIORITY_NORMAL, START + 1, &reason);
  request_slot (&gate, 2, PRIORITY_NORMAL, START + 1, &reason);
  CU_ASSERT_EQUAL (
      request_slot (&gate, 3, PRIORITY_NORMAL, START + 1, &reason),
      GATE_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_OVERLOAD);
  CU_ASSERT_FALSE (gate_displace (&gate, &evicted));
  CU_ASSERT_EQUAL (request_slot (&gate, 4, PRIORITY_HIGH, START + 1, &reason),
                   GATE_WAIT);
  CU_ASSERT_TRUE (gate_displace (&gate, &evicted));
  CU_ASSERT_EQUAL (evicted.bits, 2);
  CU_ASSERT_EQUAL (gate.waiting->len, 1);
  CU_ASSERT_FALSE (gate_displace (&gate, &evicted));
  gate.limit = 0;
  CU_ASSERT_EQUAL (request_slot (&gate, 5, PRIORITY_HIGH, START, &reason),
                   GATE_REFUSE);
  gate.slots = 0;
  CU_ASSERT_EQUAL (request_slot (&gate, 4, PRIORITY_HIGH, START + 1, &reason),
                   GATE_REFUSE);
  CU_ASSERT_EQUAL (reason, REASON_SERVER_DOWN);
  gate_clear (&gate);
}

/* A server that has just started gets a quarter of its slots, and all of them
   after its warm-up.  A repeated announcement does not restart the
   warm-up.  */
static void
test_slow_start (void)
{
  struct pace pace = { 0 };
  struct gate gate;

  pace_on_up (&pace, START);
  CU_ASSERT_EQUAL (pace_slots (&pace, 20, START), 5);
  CU_ASSERT_EQUAL (pace_slots (&pace, 20, START + PACE_COLD_USEC / 3 * 2), 15);
  CU_ASSERT_EQUAL (pace_slots (&pace, 20, START + PACE_COLD_USEC), 20);
  CU_ASSERT_EQUAL (pace_slots (&pace, 1, START), 1);
  set_up (&gate, 1, 1);
  gate_on_up (&gate, 1, START);
  CU_ASSERT_EQUAL (gate.pace.warm_at, START);
  gate_clear (&gate);
}

/* Each refusal by the server for lack of slots holds one slot back for a
   while, but never the last one.  */
static void
test_shed (void)
{
  struct pace pace = { 0 };

  pace_on_shed (&pace, 4, START);
  pace_on_shed (&pace, 4, START);
  CU_ASSERT_EQUAL (pace_slots (&pace, 4, START), 2);
  CU_ASSERT_EQUAL (pace_slots (&pace, 1, START), 1);
  CU_ASSERT_EQUAL (pace_slots (&pace, 4, START + 10000 * MSEC), 4);
}

/* Reported load that admission did not cause holds slots back; the effect
   fades with the age of the report.  */
static void
test_report_ages (void)
{
  struct gate gate;
  guint32 given = 0;
  enum reason reason;

  set_up (&gate, 8, 0);
  gate_on_load (&gate, 4, START);
  while (request_slot (&gate, 1, PRIORITY_NORMAL, START + 1, &reason)
         == GATE_RUN)
    given++;
  CU_ASSERT_EQUAL (given, 4);
  CU_ASSERT_EQUAL (server_load_held (&gate.load, START + 1000 * MSEC), 2);
  CU_ASSERT_EQUAL (server_load_held (&gate.load, START + 2000 * MSEC), 0);
  gate_on_load (&gate, 4, START);
  CU_ASSERT_EQUAL (server_load_held (&gate.load, START), 0);
  gate_clear (&gate);
}

/* A server that reports full load and still runs requests loses trust; a
   report that agrees with the slots given restores some.  */
static void
test_distrust (void)
{
  struct server_load load;

  server_load_init (&load);
  server_load_on_report (&load, 8, 0, START);
  CU_ASSERT_EQUAL (server_load_held (&load, START), 8);
  server_load_on_done (&load, 8);
  server_load_on_done (&load, 8);
  CU_ASSERT_EQUAL (server_load_held (&load, START), 2);
  server_load_on_report (&load, 1, 1, START);
  CU_ASSERT_EQUAL (load.trust, 35);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "order", test_order },
                                 { "due first", test_due_first },
                                 { "early refusal", test_early_refusal },
                                 { "bounds", test_bounds },
                                 { "slow start", test_slow_start },
                                 { "shed", test_shed },
                                 { "report ages", test_report_ages },
                                 { "distrust", test_distrust },
                                 CU_TEST_INFO_NULL };

  return suite_run ("admission", tests);
}

#include "tests/exchange_bench.h"
#include "types/clock.h"

/* Tests */

/* A complete response reaches the caller complete.  */
static void
test_complete (void)
{
  struct bench bench;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  send_request (&bench);
  run_until ((const guint *)&bench.ended);
  CU_ASSERT_TRUE (bench.ended);
  CU_ASSERT_EQUAL (bench.code, ERR_NONE);
  CU_ASSERT_EQUAL (bench.status, 200);
  CU_ASSERT_STRING_EQUAL (bench.body->str, "hello");
  bench_stop (&bench);
}

/* A truncated response is never complete for the caller.  */
static void
test_cut_short (void)
{
  static const char *const answers[]
      = { "Content-Length: 50\r\n\r\nhello",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n8\r\nwor" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      struct bench bench;
      bench_start (&bench, answers[i]);
      bench.close = TRUE;
      send_request (&bench);
      run_until ((const guint *)&bench.ended);
      CU_ASSERT_TRUE (bench.ended);
      CU_ASSERT_NOT_EQUAL (bench.code, ERR_NONE);
      bench_stop (&bench);
    }
}

/* The response to another attempt is not forwarded.  */
static void
test_mismatched_attempt (void)
{
  struct bench bench;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.wrong_attempt = TRUE;
  send_request (&bench);
  run_until ((const guint *)&bench.ended);
  CU_ASSERT_EQUAL (bench.code, ERR_NONE);
  CU_ASSERT_EQUAL (bench.status, 504);
  CU_ASSERT_STRING_EQUAL (bench.outcome, "unknown");
  CU_ASSERT_PTR_NULL (strstr (bench.body->str, "hello"));
  bench_stop (&bench);
}

/* If the caller disconnects, the request to the server is cancelled: the node
   closes that connection.  */
static void
test_caller_disconnects (void)
{
  struct bench bench;
  struct handle call;
  gint64 cancelled_at;

  bench_start (&bench, NULL);
  call = send_request (&bench);
  run_until (&bench.requests);
  CU_ASSERT_EQUAL (bench.requests, 1);
  http_abort (&bench.caller, call);
  cancelled_at = clock_usec ();
  run_until (&bench.closed_connections);
  CU_ASSERT_TRUE (clock_usec () - cancelled_at < CANCEL_USEC);
  CU_ASSERT_EQUAL (bench.closed_connections, 1);
  CU_ASSERT_EQUAL (bench.node.core.admission.busy_slots, 0);
  bench_stop (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "complete", test_complete },
          { "cut short", test_cut_short },
          { "mismatched attempt", test_mismatched_attempt },
          { "caller disconnects", test_caller_disconnects },
          CU_TEST_INFO_NULL };

  return suite_run ("exchange", tests);
}

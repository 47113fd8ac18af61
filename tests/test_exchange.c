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

/* Send a refusal from the server on its first connection, without a
   request.  */
static void
send_extra (struct bench *bench)
{
  static const char text[]
      = "HTTP/1.1 503 Service Unavailable\r\n" HEADER_ATTEMPT
        ": 1\r\nContent-Length: 0\r\n\r\n";

  conn_send (g_ptr_array_index (bench->connections, 0), (const guint8 *)text,
             strlen (text));
}

/* Send a request and wait for its response, which must be complete.  */
static void
serve_one (struct bench *bench)
{
  bench->ended = FALSE;
  g_string_set_size (bench->body, 0);
  send_request (bench);
  run_until ((const guint *)&bench->ended);
  CU_ASSERT_EQUAL (bench->code, ERR_NONE);
  CU_ASSERT_EQUAL (bench->status, 200);
  CU_ASSERT_STRING_EQUAL (bench->body->str, "hello");
}

/* A second answer on a kept connection is not taken for the answer to the next
   request: neither if it comes while the connection is idle, nor if it has
   arrived when the next request is sent.  */
static void
test_second_answer (void)
{
  struct bench bench;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.keeps_serving = TRUE;
  serve_one (&bench);
  CU_ASSERT_EQUAL (bench.node.proxy.http.idle->len, 1);
  send_extra (&bench);
  run_until (&bench.closed_connections);
  CU_ASSERT_EQUAL (bench.node.proxy.http.idle->len, 0);
  serve_one (&bench);
  send_extra (&bench);
  serve_one (&bench);
  CU_ASSERT_EQUAL (bench.requests, 3);
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
          { "second answer on a kept connection", test_second_answer },
          CU_TEST_INFO_NULL };

  return suite_run ("exchange", tests);
}

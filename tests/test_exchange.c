#include "tests/exchange_bench.h"
#include "tests/raw_caller.h"
#include "types/clock.h"

#define BODY_BYTES 8388608u       /* upload that no buffers hold */
#define LONG_ANSWER_BYTES 300000u /* answer that the node does not hold */

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

/* Send a request from the caller whose body has BODY_BYTES.  */
static void
send_upload (struct bench *bench)
{
  struct http_request request = { .address = { LOCAL, FRONT_PORT },
                                  .method = "POST",
                                  .target = "/pay/x",
                                  .body_length = BODY_BYTES };
  struct handle call;
  guint8 *body = g_malloc0 (BODY_BYTES);

  request.deadline = clock_usec () + CASE_USEC;
  call = http_start (&bench->caller, &request, on_caller, bench);
  http_write (&bench->caller, call, body, BODY_BYTES);
  http_finish (&bench->caller, call);
  g_free (body);
}

/* Run the loop until the server has got the request and the node reads no more
   of the upload.  */
static void
wait_until_paused (const struct bench *bench)
{
  const struct table *exchanges = &bench->node.proxy.exchanges;
  gint64 deadline = clock_usec () + CASE_USEC;
  const struct exchange *exchange = NULL;

  while (clock_usec () < deadline
         && (bench->requests == 0 || exchange == NULL
             || !exchange->source.u.caller.body_paused))
    {
      g_main_context_iteration (NULL, TRUE);
      exchange = table_get (exchanges, table_next (exchanges, HANDLE_NONE));
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (exchange);
  CU_ASSERT_EQUAL_FATAL (bench->requests, 1);
}

/* Guards against callers without an answer: a server answers a long upload
   before it has read it, and reads nothing more.  The answer is passed on, and
   the server's connection is not used again.  ANSWER is what the server
   sends, with LENGTH bytes in its body.  */
static void
check_early_answer (const char *answer, gsize length)
{
  struct bench bench;

  bench_start (&bench, NULL);
  bench.stops_reading = TRUE;
  send_upload (&bench);
  wait_until_paused (&bench);
  bench.response = answer;
  send_response (&bench, g_ptr_array_index (bench.connections, 0));
  run_until ((const guint *)&bench.ended);
  CU_ASSERT_TRUE (bench.ended);
  CU_ASSERT_EQUAL (bench.code, ERR_NONE);
  CU_ASSERT_EQUAL (bench.status, 200);
  CU_ASSERT_EQUAL (bench.body->len, length);
  CU_ASSERT_EQUAL (bench.node.proxy.http.idle->len, 0);
  bench_stop (&bench);
}

/* A short answer, and one that does not fit into the node's buffer.  */
static void
test_early_answer (void)
{
  char *body = g_strnfill (LONG_ANSWER_BYTES, 'x');
  char *answer = g_strdup_printf ("Content-Length: %u\r\n\r\n%s",
                                  LONG_ANSWER_BYTES, body);

  check_early_answer ("Content-Length: 5\r\n\r\nhello", 5);
  check_early_answer (answer, LONG_ANSWER_BYTES);
  g_free (answer);
  g_free (body);
}

/* Guards against a refusal of the node that carries bytes of an answer which
   broke off before it was passed on: its body is its own, and ends where its
   length says.  */
static void
test_refusal_after_part (void)
{
  static const char own_body[] = "{\"outcome\":\"unknown\",";
  struct bench bench;

  bench_start (&bench, "Content-Length: 50\r\n\r\nhello");
  bench.node.proxy.buffer_responses = TRUE;
  bench.close = TRUE;
  send_request (&bench);
  run_until ((const guint *)&bench.ended);
  CU_ASSERT_EQUAL (bench.code, ERR_NONE);
  CU_ASSERT_EQUAL (bench.status, 504);
  CU_ASSERT_TRUE (g_str_has_prefix (bench.body->str, own_body));
  CU_ASSERT_EQUAL (bench.caller.idle->len, 1);
  bench_stop (&bench);
}

/* Run the loop until COUNT responses have arrived on FD.  Return their number;
   RECEIVED gets their text.  */
static guint
receive_responses (int fd, guint count, GString *received)
{
  gint64 deadline = clock_usec () + CANCEL_USEC;
  guint arrived = 0;

  while (arrived < count && clock_usec () < deadline)
    {
      g_main_context_iteration (NULL, FALSE);
      raw_receive (fd, received);
      arrived = raw_count_responses (received);
    }
  return arrived;
}

/* Guards against an answer, or a refusal of the node, that waits for the end
   of an upload: PATH is answered while the upload goes on.  What follows of
   the upload is dropped, and the next request on the connection is served.  */
static void
check_answer_during_upload (const char *path, const char *status)
{
  struct bench bench;
  GString *received = g_string_new (NULL);
  char *upload = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: h\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "5\r\nhello\r\n",
                                  path);
  int caller;

  bench_start (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.keeps_serving = TRUE;
  caller = raw_connect (FRONT_PORT);
  raw_send (caller, upload);
  CU_ASSERT_EQUAL (receive_responses (caller, 1, received), 1);
  CU_ASSERT_TRUE (g_str_has_prefix (received->str, status));
  raw_send (caller, "5\r\nhello\r\n0\r\n\r\n"
                    "GET /pay/y HTTP/1.1\r\nHost: h\r\n\r\n");
  CU_ASSERT_EQUAL (receive_responses (caller, 2, received), 2);
  CU_ASSERT_PTR_NOT_NULL (strstr (received->str + 1, "HTTP/1.1 200 "));
  close (caller);
  g_string_free (received, TRUE);
  g_free (upload);
  bench_stop (&bench);
}

/* An answer of the server, and a refusal of the node.  */
static void
test_answer_during_upload (void)
{
  check_answer_during_upload ("/pay/x", "HTTP/1.1 200 ");
  check_answer_during_upload ("/unknown/x", "HTTP/1.1 404 ");
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
          { "answer before the upload is read", test_early_answer },
          { "refusal behind a part of an answer", test_refusal_after_part },
          { "answer while the upload goes on", test_answer_during_upload },
          CU_TEST_INFO_NULL };

  return suite_run ("exchange", tests);
}

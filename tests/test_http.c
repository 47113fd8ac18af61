#include "tests/http_run.h"

/* A response with Content-Length that arrives in parts split within a
   line.  */
static void
test_length (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 200 O", "K\r\nContent-Length: 5\r\n\r", "\nhe", "llo",
          NULL };
  struct run run;

  run_case (&run, parts, RUN_KEEP, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_EQUAL (run.status, 200);
  CU_ASSERT_STRING_EQUAL (run.body->str, "hello");
  g_string_free (run.body, TRUE);
}

/* A response in chunked encoding, after an interim response.  */
static void
test_chunks (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc",
          "\r\n2;x=y\r\nde\r\n0\r\n", "T: v\r\n\r\n", NULL };
  struct run run;

  run_case (&run, parts, RUN_KEEP, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_EQUAL (run.status, 201);
  CU_ASSERT_EQUAL (run.heads, 1);
  CU_ASSERT_STRING_EQUAL (run.body->str, "abcde");
  g_string_free (run.body, TRUE);
}

/* A truncated response is never reported as complete.  */
static void
test_cut_short (void)
{
  static const char *const length[]
      = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", NULL };
  static const char *const chunks[]
      = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n",
          NULL };
  struct run run;

  run_case (&run, length, RUN_CLOSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TRUNCATED);
  g_string_free (run.body, TRUE);
  run_case (&run, chunks, RUN_CLOSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TRUNCATED);
  g_string_free (run.body, TRUE);
}

/* Without a response the call ends at its deadline, and reports that bytes
   were sent.  */
static void
test_no_response (void)
{
  struct run run;

  run_case (&run, NULL, RUN_KEEP, 50000);
  CU_ASSERT_EQUAL (run.code, ERR_TIMEOUT);
  CU_ASSERT_TRUE (run.sent);
  g_string_free (run.body, TRUE);
}

/* Bytes that are not HTTP, and a chunk size that is not a number.  */
static void
test_malformed (void)
{
  static const char *const parts[] = { "what?\r\n\r\n", NULL };
  static const char *const chunk[]
      = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          NULL };
  struct run run;

  run_case (&run, parts, RUN_KEEP, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_MALFORMED);
  g_string_free (run.body, TRUE);
  run_case (&run, chunk, RUN_KEEP, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_MALFORMED);
  g_string_free (run.body, TRUE);
}

/* Endless bytes: a head or interim responses fail once there are too many of
   them, a body ends at the deadline of the call.  */
static void
test_endless (void)
{
  static const char *const head[] = { "HTTP/1.1 200 OK\r\n", NULL };
  static const char *const body[]
      = { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", NULL };
  static const char *const none[] = { NULL };
  struct run run;

  run_endless (&run, head, EIGHT (EIGHT ("X-Noise: again and again\r\n")),
               RUN_KEEP, 60 * CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TOO_LARGE);
  g_string_free (run.body, TRUE);
  run_endless (&run, none, "HTTP/1.1 102 Processing\r\n\r\n", RUN_KEEP,
               60 * CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TOO_LARGE);
  CU_ASSERT_EQUAL (run.heads, 0);
  g_string_free (run.body, TRUE);
  run_endless (&run, body, "more of the same ", RUN_KEEP, 50000);
  CU_ASSERT_EQUAL (run.code, ERR_TIMEOUT);
  CU_ASSERT_EQUAL (run.heads, 1);
  g_string_free (run.body, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "length", test_length },
                                 { "chunks", test_chunks },
                                 { "cut short", test_cut_short },
                                 { "no response", test_no_response },
                                 { "malformed", test_malformed },
                                 { "endless", test_endless },
                                 CU_TEST_INFO_NULL };

  return suite_run ("http", tests);
}

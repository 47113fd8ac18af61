#include "tests/http_run.h"

/* Answers that are not whole, not valid, or without end.  */

#define LARGE_BYTES 65536u /* bytes that a server sends at a time */

/* A response that stops in the middle of its head, or whose head ends in the
   middle of a line, is none.  */
static void
test_cut_head (void)
{
  static const char *const heads[][2]
      = { { "HTTP/1.1 200 OK\r\nContent-Len", NULL },
          { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", NULL },
          { "HTTP/1.1 200 OK", NULL },
          { "HTTP/1.1 200 OK\r\n\r", NULL } };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      run_case (&run, heads[i], RUN_CLOSE, CALL_USEC);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_EQUAL (run.heads, 0);
      CU_ASSERT_TRUE (run.sent);
      g_string_free (run.body, TRUE);
    }
}

/* A body that ends with its connection is complete if the connection ends in
   order, and not if it is reset.  */
static void
test_reset_body (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhel", NULL };
  struct run run;

  run_case (&run, parts, RUN_CLOSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_STRING_EQUAL (run.body->str, "hel");
  g_string_free (run.body, TRUE);
  run_case (&run, parts, RUN_RESET, CALL_USEC);
  CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
  g_string_free (run.body, TRUE);
}

/* A length that is no number of bytes makes the response invalid.  */
static void
test_odd_length (void)
{
  static const char *const heads[][2]
      = { { "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhello", NULL },
          { "HTTP/1.1 200 OK\r\nContent-Length: "
            "18446744073709551614\r\n\r\nhello",
            NULL } };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      run_case (&run, heads[i], RUN_KEEP, 50000);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_EQUAL (run.body->len, 0);
      g_string_free (run.body, TRUE);
    }
}

/* Guards against a loop that is held by bytes without end which are dropped:
   the call ends long before its deadline.  ENDLESS follows HEAD.  */
static void
check_dropped (const char *head, const char *endless, gboolean skips)
{
  const char *const parts[] = { head, NULL };
  struct run run;

  run_call (&run, parts, endless, RUN_KEEP, skips, 60 * CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TOO_LARGE);
  g_string_free (run.body, TRUE);
}

/* Interim responses, a trailer, and responses to other requests, many or one
   without an end.  */
static void
test_dropped (void)
{
  char *large = g_strnfill (LARGE_BYTES, 'x');

  check_dropped ("", "HTTP/1.1 100 Continue\r\n\r\n", FALSE);
  check_dropped ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n",
                 EIGHT (EIGHT (EIGHT ("X-Noise: again and again\r\n"))),
                 FALSE);
  check_dropped ("", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", TRUE);
  check_dropped ("HTTP/1.1 200 OK\r\n\r\n", large, TRUE);
  g_free (large);
}

/* A few interim responses and a short trailer are dropped, and the answer is
   complete.  */
static void
test_few_dropped (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "1\r\nh\r\n1\r\ne\r\n3\r\nllo\r\n0\r\nX-A: b\r\n\r\n", NULL };
  struct run run;

  run_case (&run, parts, RUN_KEEP, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_STRING_EQUAL (run.body->str, "hello");
  g_string_free (run.body, TRUE);
}

/* Guards against an answer that is taken for whole though its chunks are not
   valid.  */
static void
test_odd_chunks (void)
{
  static const char *const bodies[]
      = { "-5\r\nhello\r\n0\r\n\r\n",  "+5\r\nhello\r\n0\r\n\r\n",
          "5\r\nhello??0\r\n\r\n",     "0x5\r\nhello\r\n0\r\n\r\n",
          "5 5\r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n0\r\nno field\r\n\r\n" };
  const char *parts[] = { "HTTP/1.1 200 OK\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          NULL, NULL };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      parts[1] = bodies[i];
      run_case (&run, parts, RUN_KEEP, 50000);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      g_string_free (run.body, TRUE);
    }
}

/* Guards against an answer whose end is found by a guess: lengths that differ,
   a transfer coding that is not known, fields that are not valid.  */
static void
test_odd_framing (void)
{
  static const char *const heads[]
      = { "Content-Length: 5\r\nContent-Length: 2\r\n",
          "Content-Length: 5, 2\r\n",
          "Content-Length: five\r\n",
          "Content-Length: +5\r\n",
          "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
          "Transfer-Encoding : chunked\r\n",
          "Content-Length: 5\r\n 5\r\n",
          "X-A: b\nContent-Length: 5\r\n" };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      const char *parts[]
          = { "HTTP/1.1 200 OK\r\n", heads[i], "\r\nhello", NULL };
      run_case (&run, parts, RUN_CLOSE, CALL_USEC);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_EQUAL (run.body->len, 0);
      g_string_free (run.body, TRUE);
    }
}

/* Proper framing: equal lengths, sizes in upper case, extensions.  */
static void
test_proper_framing (void)
{
  static const char *const answers[]
      = { "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
          "content-length:5\r\n\r\nhello",
          "Transfer-Encoding: Chunked\r\n\r\n005;x\r\nhello\r\n0\r\n\r\n" };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      const char *parts[] = { "HTTP/1.1 200 OK\r\n", answers[i], NULL };
      run_case (&run, parts, RUN_KEEP, CALL_USEC);
      CU_ASSERT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_STRING_EQUAL (run.body->str, "hello");
      g_string_free (run.body, TRUE);
    }
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "head cut short is an answer", test_cut_head },
          { "reset body is complete", test_reset_body },
          { "length below zero", test_odd_length },
          { "bytes without end are dropped", test_dropped },
          { "a few bytes are dropped", test_few_dropped },
          { "answer in chunks that are not valid", test_odd_chunks },
          { "answer without a valid framing", test_odd_framing },
          { "answer of a proper framing", test_proper_framing },
          CU_TEST_INFO_NULL };

  return suite_run ("http answer", tests);
}

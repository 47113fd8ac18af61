#include "tests/http_run.h"

/* Answers that are not whole, or not valid.  */

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

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "head cut short is an answer", test_cut_head },
          { "reset body is complete", test_reset_body },
          { "length below zero", test_odd_length },
          CU_TEST_INFO_NULL };

  return suite_run ("http answer", tests);
}

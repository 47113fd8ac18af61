#include "tests/exchange_bench.h"
#include "types/clock.h"

/* Tests */

/* A complete response reaches the caller complete.  */
static void
test_whole (void)
{
  struct bench bench;

  begin (&bench, "Content-Length: 5\r\n\r\nhello");
  ask (&bench);
  run_until ((const guint *)&bench.ended);
  CU_ASSERT_TRUE (bench.ended);
  CU_ASSERT_EQUAL (bench.code, ERR_NONE);
  CU_ASSERT_EQUAL (bench.status, 200);
  CU_ASSERT_STRING_EQUAL (bench.body->str, "hello");
  end (&bench);
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
      begin (&bench, answers[i]);
      bench.close = TRUE;
      ask (&bench);
      run_until ((const guint *)&bench.ended);
      CU_ASSERT_TRUE (bench.ended);
      CU_ASSERT_NOT_EQUAL (bench.code, ERR_NONE);
      end (&bench);
    }
}

/* The response to another attempt is not forwarded.  */
static void
test_crossed (void)
{
  struct bench bench;

  begin (&bench, "Content-Length: 5\r\n\r\nhello");
  bench.crossed = TRUE;
  ask (&bench);
  run_until ((const guint *)&bench.ended);
  CU_ASSERT_EQUAL (bench.code, ERR_NONE);
  CU_ASSERT_EQUAL (bench.status, 504);
  CU_ASSERT_STRING_EQUAL (bench.outcome, "unknown");
  CU_ASSERT_PTR_NULL (strstr (bench.body->str, "hello"));
  end (&bench);
}

/* If the caller disconnects, the request to the server is cancelled: the node
   closes that connection.  */
static void
test_caller_goes_away (void)
{
  struct bench bench;
  struct handle call;
  gint64 gone;

  begin (&bench, NULL);
  call = ask (&bench);
  run_until (&bench.asked);
  CU_ASSERT_EQUAL (bench.asked, 1);
  http_abort (&bench.caller, call);
  gone = clock_usec ();
  run_until (&bench.closed);
  CU_ASSERT_TRUE (clock_usec () - gone < CANCEL_USEC);
  CU_ASSERT_EQUAL (bench.closed, 1);
  CU_ASSERT_EQUAL (bench.node.core.admission.busy_slots, 0);
  end (&bench);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "whole", test_whole },
                                 { "cut short", test_cut_short },
                                 { "crossed", test_crossed },
                                 { "caller goes away", test_caller_goes_away },
                                 CU_TEST_INFO_NULL };

  return suite_run ("exchange", tests);
}

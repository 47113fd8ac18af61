#include "tests/unread_check.h"

/* Large responses that callers do not read.  */

/* Guards against a node that holds several copies of an unread response, or
   all of them for any number of callers.  */
static void
test_queued (void)
{
  static const struct unread_crowd crowd
      = { .connections = 500, .requests = 1, .answer_bytes = 60000 };

  unread_check (&crowd, 1, FALSE);
}

/* The same with responses longer than what is buffered of each: they hold
   connections and slots of the server.  */
static void
test_streamed (void)
{
  static const struct unread_crowd crowd
      = { .connections = 300, .requests = 1, .answer_bytes = 1000000 };

  unread_check (&crowd, 1, FALSE);
}

int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "responses of 60 kB", test_queued },
                                 { "responses of 1 MB", test_streamed },
                                 CU_TEST_INFO_NULL };

  (void)argc;
  return unread_suite (argv[0], "large responses, unread", tests);
}

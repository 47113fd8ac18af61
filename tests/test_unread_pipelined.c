#include "tests/unread_check.h"

/* Many pipelined requests on few connections, with unread responses.  */

/* Guards against a node that answers all that it has read for callers that do
   not read on: small responses.  */
static void
test_small (void)
{
  static const struct unread_crowd crowd
      = { .connections = 12, .requests = 8000, .answer_bytes = 1000 };

  unread_check (&crowd, 1, FALSE);
}

/* The same with responses that take up what a node buffers.  */
static void
test_large (void)
{
  static const struct unread_crowd crowd
      = { .connections = 200, .requests = 500, .answer_bytes = 60000 };

  unread_check (&crowd, 1, FALSE);
}

int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "small responses", test_small },
                                 { "responses of 60 kB", test_large },
                                 CU_TEST_INFO_NULL };

  (void)argc;
  return unread_suite (argv[0], "pipelined requests, unread", tests);
}

#include "tests/unread_check.h"

/* Callers that do not read, of a service whose server is beside another
   node.  */

/* Guards against two nodes that hold the unread responses between them: the
   one that the callers are connected to, and the one beside the server.  */
static void
test_queued (void)
{
  static const struct unread_crowd crowd
      = { .connections = 500, .requests = 1, .answer_bytes = 60000 };

  unread_check (&crowd, 2, FALSE);
}

/* The same with responses longer than what is buffered of each.  */
static void
test_streamed (void)
{
  static const struct unread_crowd crowd
      = { .connections = 300, .requests = 1, .answer_bytes = 1000000 };

  unread_check (&crowd, 2, FALSE);
}

/* The same with many small responses on few connections.  */
static void
test_pipelined (void)
{
  static const struct unread_crowd crowd
      = { .connections = 200, .requests = 500, .answer_bytes = 15000 };

  unread_check (&crowd, 2, FALSE);
}

int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "responses of 60 kB", test_queued },
                                 { "responses of 1 MB", test_streamed },
                                 { "pipelined requests", test_pipelined },
                                 CU_TEST_INFO_NULL };

  (void)argc;
  return unread_suite (argv[0], "unread, through another node", tests);
}

#include "tests/unread_check.h"

/* Few pipelined requests on many connections, with unread responses.  */

/* Guards against a node that keeps large buffers for connections with little
   to send: as many connections as its descriptors allow.  */
static void
test_most (void)
{
  static const struct unread_crowd crowd
      = { .connections = 600, .requests = 8, .answer_bytes = 15000 };

  unread_check (&crowd, 1, FALSE);
}

/* Guards against a node that accepts connections until it has no descriptor
   left for its servers, its peers and the store.  */
static void
test_more (void)
{
  static const struct unread_crowd crowd
      = { .connections = 1000, .requests = 4, .answer_bytes = 500 };

  unread_check (&crowd, 1, TRUE);
}

int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "as many as allowed", test_most },
                                 { "more than descriptors", test_more },
                                 CU_TEST_INFO_NULL };

  (void)argc;
  return unread_suite (argv[0], "many connections, unread", tests);
}

#include "tests/unread_check.h"

/* Heads of requests that do not come to their end.  */

/* Guards against a node that takes a large buffer for each short part of a
   head.  */
static void
test_short (void)
{
  static const struct unread_crowd crowd
      = { .connections = 600, .head_bytes = 200 };

  unread_check (&crowd, 1, FALSE);
}

/* Guards against heads of nearly the longest allowed length that fill the
   process.  */
static void
test_long (void)
{
  static const struct unread_crowd crowd
      = { .connections = 600, .head_bytes = 16000 };

  unread_check (&crowd, 1, FALSE);
}

int
main (int argc, char **argv)
{
  static CU_TestInfo tests[] = { { "short parts", test_short },
                                 { "long parts", test_long },
                                 CU_TEST_INFO_NULL };

  (void)argc;
  return unread_suite (argv[0], "incomplete heads", tests);
}

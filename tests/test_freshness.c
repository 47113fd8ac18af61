#include "fleet/freshness.h"

#include "tests/suite.h"

/* How recent a copy of a topic is.  */

#define NOW ((gint64)100000000)

/* Nothing is known before the first read.  */
static void
test_unread (void)
{
  struct freshness freshness = { 0 };

  CU_ASSERT_EQUAL (freshness_age_usec (&freshness, NOW), -1);
}

/* The latest read counts, whoever made it and in whatever order the words
   come.  */
static void
test_latest (void)
{
  struct freshness freshness = { 0 };

  freshness_confirm (&freshness, NOW, 1);
  freshness_confirm (&freshness, NOW + 500, 2);
  freshness_confirm (&freshness, NOW + 200, 3);
  CU_ASSERT_EQUAL (freshness_age_usec (&freshness, NOW + 1500), 1000);
  CU_ASSERT_EQUAL (freshness.source, 2);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "unread", test_unread },
                          { "latest", test_latest },
                          CU_TEST_INFO_NULL };

  return suite_run ("freshness", tests);
}

#include "tool/publish_outcome.h"
#include "tests/suite.h"

#include <glib.h>

/* Judge a record of writer 0xa, serial 1, made from the one at 5, with PAST.
 */
static enum publish_outcome
judge (guint64 offset, guint64 next, const char *past, guint64 *found)
{
  struct publish_query query = {
    .writer = 0xa, .serial = 1, .base_offset = 5, .record_offset = offset
  };

  query.applied_offset = next;
  return publish_outcome_find (&query, past, found);
}

/* The first record accepted after the base decides, whoever came later.  */
static void
test_first_after_base (void)
{
  guint64 at = 0;

  CU_ASSERT_EQUAL (judge (0, 9, "2/b/1,5/b/2,7/a/1", &at),
                   PUBLISH_OUTCOME_ACCEPTED);
  CU_ASSERT_EQUAL (at, 7);
  CU_ASSERT_EQUAL (judge (0, 9, "5/b/2,7/a/1,8/c/1", &at),
                   PUBLISH_OUTCOME_ACCEPTED);
  CU_ASSERT_EQUAL (judge (8, 9, "5/b/2,7/c/1", &at), PUBLISH_OUTCOME_CONFLICT);
  CU_ASSERT_EQUAL (judge (0, 9, "5/b/2,7/a/2", &at), PUBLISH_OUTCOME_CONFLICT);
}

/* Nothing is known while the node has not folded the record.  */
static void
test_open (void)
{
  guint64 at = 0;

  CU_ASSERT_EQUAL (judge (0, 9, "5/b/2", &at), PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (judge (9, 9, "5/b/2", &at), PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (judge (9, 10, "5/b/2", &at), PUBLISH_OUTCOME_REJECTED);
  CU_ASSERT_EQUAL (judge (0, 9, "", &at), PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (judge (0, 9, NULL, &at), PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (judge (0, 9, "no/record", &at), PUBLISH_OUTCOME_PENDING);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "first after base", test_first_after_base },
                                 { "open", test_open },
                                 CU_TEST_INFO_NULL };

  return suite_run ("publication", tests);
}

#include "tool/publish_outcome.h"
#include "tests/suite.h"

#include <glib.h>

/* Returns the outcome of the record of writer 0xa with serial 1 based on
   offset 5, given HISTORY.  */
static enum publish_outcome
outcome_of (guint64 offset, guint64 next, const char *history,
            guint64 *accepted_offset)
{
  struct publish_query query = {
    .writer = 0xa, .serial = 1, .base_offset = 5, .record_offset = offset
  };

  query.applied_offset = next;
  return publish_outcome_find (&query, history, accepted_offset);
}

/* The first record accepted after the base decides, regardless of later
   ones.  */
static void
test_first_after_base (void)
{
  guint64 accepted_offset = 0;

  CU_ASSERT_EQUAL (outcome_of (0, 9, "2/b/1,5/b/2,7/a/1", &accepted_offset),
                   PUBLISH_OUTCOME_ACCEPTED);
  CU_ASSERT_EQUAL (accepted_offset, 7);
  CU_ASSERT_EQUAL (outcome_of (0, 9, "5/b/2,7/a/1,8/c/1", &accepted_offset),
                   PUBLISH_OUTCOME_ACCEPTED);
  CU_ASSERT_EQUAL (outcome_of (8, 9, "5/b/2,7/c/1", &accepted_offset),
                   PUBLISH_OUTCOME_CONFLICT);
  CU_ASSERT_EQUAL (outcome_of (0, 9, "5/b/2,7/a/2", &accepted_offset),
                   PUBLISH_OUTCOME_CONFLICT);
}

/* The outcome is unknown until the node has applied the record.  */
static void
test_pending (void)
{
  guint64 accepted_offset = 0;

  CU_ASSERT_EQUAL (outcome_of (0, 9, "5/b/2", &accepted_offset),
                   PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (outcome_of (9, 9, "5/b/2", &accepted_offset),
                   PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (outcome_of (9, 10, "5/b/2", &accepted_offset),
                   PUBLISH_OUTCOME_REJECTED);
  CU_ASSERT_EQUAL (outcome_of (0, 9, "", &accepted_offset),
                   PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (outcome_of (0, 9, NULL, &accepted_offset),
                   PUBLISH_OUTCOME_PENDING);
  CU_ASSERT_EQUAL (outcome_of (0, 9, "no/record", &accepted_offset),
                   PUBLISH_OUTCOME_PENDING);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "first after base", test_first_after_base },
                                 { "pending", test_pending },
                                 CU_TEST_INFO_NULL };

  return suite_run ("publish_outcome", tests);
}

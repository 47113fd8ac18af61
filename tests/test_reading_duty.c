#include "fleet/reading_duty.h"

#include "tests/suite.h"
#include "types/limits.h"

/* Who holds the duty of reading a topic, as one node knows it.  */

#define NOW ((gint64)100000000)
#define MSEC ((gint64)USEC_PER_MSEC)
#define SELF 10u /* process of this node */

/* Return what READER tells of its read number ROUND, AGE_MSEC ago.  */
static struct reading_claim
claim_of (guint64 reader, guint32 round, guint32 age_msec)
{
  return (struct reading_claim){ .reader = reader,
                                 .round = round,
                                 .age_msec = age_msec };
}

/* A duty is held for as long as it is renewed.  */
static void
test_renewed (void)
{
  struct reading_duty duty = { 0 };

  CU_ASSERT_FALSE (reading_duty_is_held (&duty, NOW));
  reading_duty_renew (&duty, SELF, 1, NOW);
  CU_ASSERT_TRUE (reading_duty_is_held_by (&duty, SELF, NOW));
  CU_ASSERT_TRUE (
      reading_duty_is_held (&duty, NOW + READING_DUTY_USEC - MSEC));
  CU_ASSERT_FALSE (reading_duty_is_held (&duty, NOW + READING_DUTY_USEC));
}

/* A duty that was given up stays so, whatever older words of the same reads
   say, until its reader has read again.  */
static void
test_given_up (void)
{
  struct reading_duty duty = { 0 };
  struct reading_claim claim = claim_of (20, 7, 0);

  CU_ASSERT_FALSE (reading_duty_hear (&duty, &claim, SELF, NOW));
  CU_ASSERT_TRUE (reading_duty_is_held_by (&duty, 20, NOW));
  claim.given_up = TRUE;
  CU_ASSERT_TRUE (reading_duty_hear (&duty, &claim, SELF, NOW));
  CU_ASSERT_FALSE (reading_duty_is_held (&duty, NOW));
  CU_ASSERT_FALSE (reading_duty_hear (&duty, &claim, SELF, NOW));
  claim.given_up = FALSE;
  reading_duty_hear (&duty, &claim, SELF, NOW);
  CU_ASSERT_FALSE (reading_duty_is_held (&duty, NOW));
  claim.round = 8;
  reading_duty_hear (&duty, &claim, SELF, NOW);
  CU_ASSERT_TRUE (reading_duty_is_held (&duty, NOW));
}

/* This node gives up only what it holds, once.  */
static void
test_give_up (void)
{
  struct reading_duty duty = { 0 };
  struct reading_claim claim = claim_of (20, 1, 0);

  CU_ASSERT_FALSE (reading_duty_give_up (&duty, SELF));
  reading_duty_renew (&duty, SELF, 1, NOW);
  CU_ASSERT_TRUE (reading_duty_give_up (&duty, SELF));
  CU_ASSERT_FALSE (reading_duty_give_up (&duty, SELF));
  reading_duty_hear (&duty, &claim, SELF, NOW);
  CU_ASSERT_FALSE (reading_duty_give_up (&duty, SELF));
}

/* Of two holders the one with the lower process number keeps the duty, if it
   has read since the other one took it.  */
static void
test_two_holders (void)
{
  struct reading_duty duty = { 0 };
  struct reading_claim lower = claim_of (5, 1, 300);
  struct reading_claim higher = claim_of (20, 1, 0);

  reading_duty_renew (&duty, SELF, 1, NOW);
  reading_duty_hear (&duty, &higher, SELF, NOW + 100 * MSEC);
  CU_ASSERT_EQUAL (duty.reader, SELF);
  reading_duty_hear (&duty, &lower, SELF, NOW + 100 * MSEC);
  CU_ASSERT_EQUAL (duty.reader, SELF);
  lower.round = 2;
  reading_duty_hear (&duty, &lower, SELF, NOW + 900 * MSEC);
  CU_ASSERT_EQUAL (duty.reader, 5);
}

/* What others tell of this process itself, or an old claim of another, changes
   nothing.  */
static void
test_ignored (void)
{
  struct reading_duty duty = { 0 };
  struct reading_claim own = claim_of (SELF, 9, 0);
  struct reading_claim old = claim_of (5, 9, 5000);
  struct reading_claim none = claim_of (0, 0, 0);

  reading_duty_hear (&duty, &own, SELF, NOW);
  reading_duty_hear (&duty, &none, SELF, NOW);
  CU_ASSERT_EQUAL (duty.reader, 0);
  reading_duty_renew (&duty, SELF, 1, NOW);
  reading_duty_hear (&duty, &old, SELF, NOW);
  CU_ASSERT_EQUAL (duty.reader, SELF);
}

/* The time since when a duty is vacant starts anew each time.  */
static void
test_vacant_since (void)
{
  struct reading_duty duty = { 0 };

  reading_duty_check (&duty, FALSE, NOW);
  reading_duty_check (&duty, FALSE, NOW + 100 * MSEC);
  CU_ASSERT_EQUAL (duty.vacant_since, NOW);
  reading_duty_check (&duty, TRUE, NOW + 200 * MSEC);
  CU_ASSERT_EQUAL (duty.vacant_since, 0);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "renewed", test_renewed },
                          { "given up", test_given_up },
                          { "give up", test_give_up },
                          { "two holders", test_two_holders },
                          { "ignored", test_ignored },
                          { "vacant since", test_vacant_since },
                          CU_TEST_INFO_NULL };

  return suite_run ("reading_duty", tests);
}

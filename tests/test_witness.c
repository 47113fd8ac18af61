#include "decide/timing.h"
#include "decide/witness.h"
#include "tests/suite.h"

#include <string.h>

#define HOLDER 7u /* incarnation of the lease holder */
#define START ((gint64)10000000)

/* Return whether WITNESS acks a renewal of HOLDER with FLOOR at NOW.  */
static gboolean
renew (struct witness *witness, gboolean is_alive, guint64 floor, gint64 now)
{
  struct peer_renew call
      = { .incarnation = HOLDER, .round = 3, .floor = floor };
  struct peer_renew_reply reply = { 0 };

  witness_on_renew (witness, &call, is_alive, 5, now, &reply);
  CU_ASSERT_EQUAL (reply.round, 3);
  CU_ASSERT_EQUAL (reply.applied_offset, 5);
  return reply.granted;
}

/* Ask WITNESS at NOW to promise the removal of HOLDER, and return its
   reply.  */
static struct peer_promise_reply
promise (struct witness *witness, gint64 now)
{
  struct peer_promise call = { .target = HOLDER, .collector = 1 };
  struct peer_promise_reply reply = { 0 };

  witness_on_promise (witness, &call, now, &reply);
  CU_ASSERT_EQUAL (reply.target, HOLDER);
  return reply;
}

/* A witness promises only if the holder is unresponsive, and keeps the
   promise.  */
static void
test_promise (void)
{
  struct witness witness;
  struct peer_promise_reply reply;
  gint64 late = START + UNRESPONSIVE_AFTER_USEC;

  witness_init (&witness);
  CU_ASSERT_TRUE (renew (&witness, TRUE, 4, START));
  CU_ASSERT_FALSE (promise (&witness, late - 1).promised);
  CU_ASSERT_TRUE (renew (&witness, TRUE, 3, START + 1));
  CU_ASSERT_FALSE (promise (&witness, late).promised);
  reply = promise (&witness, late + 1);
  CU_ASSERT_TRUE (reply.promised);
  CU_ASSERT_EQUAL (reply.floor, 4);
  CU_ASSERT_EQUAL (reply.remaining_usec,
                   LEASE_USEC + LEASE_DRIFT_USEC - UNRESPONSIVE_AFTER_USEC);
  CU_ASSERT_FALSE (renew (&witness, TRUE, 9, late + 2));
  reply = promise (&witness, late + LEASE_USEC);
  CU_ASSERT_TRUE (reply.promised);
  CU_ASSERT_EQUAL (reply.floor, 4);
  CU_ASSERT_EQUAL (reply.remaining_usec, 0);
  witness_clear (&witness);
}

/* A holder that is not alive in the view is never acked, even after the
   promise about it was dropped.  */
static void
test_unknown_holder (void)
{
  struct witness witness;

  witness_init (&witness);
  CU_ASSERT_FALSE (renew (&witness, FALSE, 0, START));
  CU_ASSERT_TRUE (renew (&witness, TRUE, 0, START));
  CU_ASSERT_TRUE (
      promise (&witness, START + UNRESPONSIVE_AFTER_USEC).promised);
  g_hash_table_remove_all (witness.acks);
  CU_ASSERT_FALSE (renew (&witness, FALSE, 0, START + LEASE_USEC));
  witness_clear (&witness);
}

/* A holder that has never renewed becomes unresponsive counted from when its
   renewals were first expected.  */
static void
test_never_renewed (void)
{
  struct witness witness;

  witness_init (&witness);
  witness_expect_renewals (&witness, HOLDER, START);
  CU_ASSERT_FALSE (
      promise (&witness, START + UNRESPONSIVE_AFTER_USEC - 1).promised);
  CU_ASSERT_TRUE (
      promise (&witness, START + UNRESPONSIVE_AFTER_USEC).promised);
  witness_clear (&witness);
}

/* After a pause of the witness, unresponsiveness of the holder is counted from
   the end of the pause.  */
static void
test_pause (void)
{
  struct witness witness;
  gint64 resumed_at = START + 10 * LEASE_USEC;

  witness_init (&witness);
  CU_ASSERT_TRUE (renew (&witness, TRUE, 0, START));
  witness.running_since = resumed_at;
  CU_ASSERT_FALSE (promise (&witness, resumed_at + 1).promised);
  CU_ASSERT_TRUE (
      promise (&witness, resumed_at + UNRESPONSIVE_AFTER_USEC).promised);
  witness_clear (&witness);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "promise", test_promise },
                                 { "unknown holder", test_unknown_holder },
                                 { "never renewed", test_never_renewed },
                                 { "pause", test_pause },
                                 CU_TEST_INFO_NULL };

  return suite_run ("witness", tests);
}

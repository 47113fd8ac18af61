#include "serve/call_retry.h"

#include "tests/suite.h"

#define MSEC ((gint64)1000)

/* A replay of one call: 371 ms left, six servers at capacity that refuse it
   within 4 ms each with a forecast wait of 52 to 62 ms, and a place at any of
   them FREE_AFTER later.  Seen on a busy moment of a deployment: three servers
   refused the call within 11 ms and its parent failed after 70 ms in a
   slot.  */

#define LEFT_USEC (371 * MSEC)
#define NEED_USEC (30 * MSEC)
#define REFUSAL_USEC (4 * MSEC)
#define SERVERS 6u
#define LAST_PAUSE (125 * MSEC) /* longest pause of this call */

/* The result of a replay.  */
struct replay
{
  gboolean served;  /* a server took the call in time */
  gint64 ended_at;  /* when it was taken or failed, from its arrival */
  guint sent_count; /* attempts */
};

/* Replay the call where servers have a place from FREE_AFTER on.  */
static struct replay
replay_call (gint64 free_after)
{
  struct call_refusal refusal = { .need_usec = NEED_USEC };
  struct replay replay = { 0 };
  gint64 now = 0;

  for (;;)
    {
      struct call_retry retry;
      replay.sent_count++;
      replay.ended_at = now;
      if (now >= free_after)
        {
          replay.served = now + NEED_USEC <= LEFT_USEC;
          return replay;
        }
      now += REFUSAL_USEC;
      refusal.tried_count++;
      refusal.left_usec = LEFT_USEC - now;
      refusal.advice_usec = (52 + replay.sent_count % 3 * 5) * MSEC;
      refusal.other_is_free = refusal.tried_count < SERVERS;
      retry = call_retry_decide (&refusal);
      replay.ended_at = now;
      if (retry.action == CALL_RETRY_FAIL)
        return replay;
      if (retry.action == CALL_RETRY_ELSEWHERE)
        continue;
      CU_ASSERT_TRUE (retry.pause_usec > 0);
      now += retry.pause_usec;
      refusal.pause_count++;
      refusal.tried_count = 0;
    }
}

/* Guards against a parent that fails while a place for its call becomes free
   in time.  While servers refuse the call its pauses grow, to 125 ms here.  */
static void
test_place_in_time (void)
{
  gint64 free_after;

  for (free_after = 0; free_after <= 280 * MSEC; free_after += 10 * MSEC)
    {
      struct replay replay = replay_call (free_after);
      CU_ASSERT_TRUE (replay.served);
      CU_ASSERT_TRUE (replay.ended_at <= free_after + LAST_PAUSE);
    }
}

/* Guards against a call that is sent again and again to servers that have no
   place: the number of attempts is bounded, and the call ends before its time
   is over.  */
static void
test_no_place (void)
{
  struct replay replay = replay_call (LEFT_USEC * 10);

  CU_ASSERT_FALSE (replay.served);
  CU_ASSERT_TRUE (replay.ended_at <= LEFT_USEC);
  CU_ASSERT_TRUE (replay.sent_count <= 8);
  printf (" %u attempts in %d ms ", replay.sent_count,
          (int)(replay.ended_at / MSEC));
}

/* A call whose time is too short for an attempt fails at once.  */
static void
test_no_time (void)
{
  struct call_refusal refusal = { .left_usec = 29 * MSEC,
                                  .need_usec = NEED_USEC,
                                  .tried_count = 1,
                                  .other_is_free = TRUE };

  CU_ASSERT_EQUAL (call_retry_decide (&refusal).action, CALL_RETRY_FAIL);
  refusal.left_usec = 40 * MSEC;
  CU_ASSERT_EQUAL (call_retry_decide (&refusal).action, CALL_RETRY_ELSEWHERE);
  refusal.other_is_free = FALSE;
  CU_ASSERT_EQUAL (call_retry_decide (&refusal).action, CALL_RETRY_FAIL);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "place in time", test_place_in_time },
                          { "no place", test_no_place },
                          { "no time", test_no_time },
                          CU_TEST_INFO_NULL };

  return suite_run ("call_retry", tests);
}

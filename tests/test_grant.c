#include "shard/shard_reconcile.h"
#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* A beat of the life ID born at BORN, number NUMBER, that holds FIRST to LAST
   if LAST is not below FIRST.  */
static struct heartbeat *
make_beat (const char *id, gint64 born, guint64 number, guint32 first,
           guint32 last)
{
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  g_strlcpy (heartbeat->instance.id, id, sizeof heartbeat->instance.id);
  heartbeat->instance.started_at_msec = born;
  heartbeat->sequence = number;
  heartbeat->slots = 4;
  if (last >= first)
    {
      heartbeat->held_count = 1;
      heartbeat->held_ranges[0].first = first;
      heartbeat->held_ranges[0].last = last;
      heartbeat->held_ranges[0].fence = 1;
    }
  return heartbeat;
}

/* Take in a beat made on the spot.  */
static enum grant_change
take (struct grant *grant, struct heartbeat *heartbeat, gint64 now)
{
  enum grant_change peer_report = grant_on_heartbeat (grant, heartbeat, now);

  g_free (heartbeat);
  return peer_report;
}

/* Grant FIRST to LAST for HOLD_USEC.  */
static void
give (struct grant *grant, guint32 first, guint32 last, gint64 hold_usec,
      gint64 now)
{
  struct heartbeat_answer *answer = g_new0 (struct heartbeat_answer, 1);

  answer->renews_grant = TRUE;
  answer->grant_usec = hold_usec;
  answer->range_count = last >= first ? 1 : 0;
  answer->ranges[0].first = first;
  answer->ranges[0].last = last;
  grant_on_answered (grant, answer, now);
  g_free (answer);
}

/* A process that has just started does not take what an earlier one granted
   for lapsed, also where the server's beat is the first it hears.  */
static void
test_restart (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct grant grant;
  const char *token;

  grant_init (&grant, 10 * SECOND);
  CU_ASSERT_EQUAL (take (&grant, make_beat ("s", 5, 8, 0, 9), SECOND),
                   GRANT_NEW_INSTANCE);
  CU_ASSERT_FALSE (grant_is_expired (&grant, 2 * SECOND));
  CU_ASSERT_FALSE (grant_is_released (&grant, &shard, 2 * SECOND, &token));
  CU_ASSERT_TRUE (grant_is_expired (&grant, 10 * SECOND));
  grant_clear (&grant);
}

/* Another life that this process sees begin holds nothing of the first.  */
static void
test_new_life (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct grant grant;
  const char *token;

  grant_init (&grant, 0);
  take (&grant, make_beat ("s", 5, 1, 1, 0), SECOND);
  give (&grant, 0, 9, 3 * SECOND, SECOND);
  CU_ASSERT_TRUE (grant_covers_key (&grant, 3, SECOND));
  CU_ASSERT_EQUAL (take (&grant, make_beat ("s", 6, 1, 1, 0), 2 * SECOND),
                   GRANT_NEW_INSTANCE);
  CU_ASSERT_FALSE (grant_covers_key (&grant, 3, 2 * SECOND));
  CU_ASSERT_TRUE (grant_is_released (&grant, &shard, 2 * SECOND, &token));
  grant_clear (&grant);
}

/* A beat of a life that is over, or one that was overtaken, changes
   nothing.  */
static void
test_late_beats (void)
{
  struct grant grant;

  grant_init (&grant, 0);
  take (&grant, make_beat ("s", 6, 4, 1, 0), SECOND);
  CU_ASSERT_EQUAL (take (&grant, make_beat ("r", 5, 9, 0, 9), SECOND),
                   GRANT_OUTDATED);
  CU_ASSERT_EQUAL (take (&grant, make_beat ("s", 6, 3, 0, 9), SECOND),
                   GRANT_OUTDATED);
  CU_ASSERT_EQUAL (grant.held_count, 0);
  CU_ASSERT_EQUAL (grant.heartbeat_sequence, 4);
  grant_clear (&grant);
}

/* A server that refuses connections gets no requests, and yet may hold what it
   was granted until that has lapsed.  */
static void
test_refused_is_no_proof (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct grant grant;
  const char *token;

  grant_init (&grant, 0);
  take (&grant, make_beat ("s", 6, 1, 1, 0), SECOND);
  give (&grant, 0, 9, 3 * SECOND, SECOND);
  CU_ASSERT_FALSE (grant_on_connection_refused (&grant, 2 * SECOND));
  CU_ASSERT_TRUE (
      grant_on_connection_refused (&grant, 2 * SECOND + SECOND / 5));
  CU_ASSERT_FALSE (grant_covers_key (&grant, 3, 3 * SECOND));
  CU_ASSERT_FALSE (grant_is_released (&grant, &shard, 3 * SECOND, &token));
  CU_ASSERT_TRUE (grant_is_released (&grant, &shard, 4 * SECOND, &token));
  grant_clear (&grant);
}

/* What was freed comes with its token.  */
static void
test_freed (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct heartbeat *heartbeat = make_beat ("s", 6, 2, 10, 20);
  struct grant grant;
  const char *token;

  grant_init (&grant, 0);
  take (&grant, make_beat ("s", 6, 1, 0, 20), SECOND);
  give (&grant, 10, 20, 3 * SECOND, SECOND);
  CU_ASSERT_FALSE (grant_is_released (&grant, &shard, SECOND, &token));
  heartbeat->released_count = 1;
  heartbeat->released_ranges[0].last = 9;
  g_strlcpy (heartbeat->released_ranges[0].handover_token, "t",
             sizeof heartbeat->released_ranges[0].handover_token);
  take (&grant, heartbeat, SECOND);
  CU_ASSERT_TRUE (grant_is_released (&grant, &shard, SECOND, &token));
  CU_ASSERT_STRING_EQUAL (token, "t");
  grant_clear (&grant);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "a restarted process", test_restart },
                          { "a new life", test_new_life },
                          { "late beats", test_late_beats },
                          { "refused connections", test_refused_is_no_proof },
                          { "freed ranges", test_freed },
                          CU_TEST_INFO_NULL };

  return suite_run ("grant", tests);
}

#include "shard/shard_reconcile.h"
#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* Return a heartbeat of the instance ID started at STARTED_AT, with sequence
   number NUMBER, of a server that holds FIRST to LAST unless LAST is below
   FIRST.  */
static struct heartbeat *
make_heartbeat (const char *id, gint64 started_at, guint64 number,
                guint32 first, guint32 last)
{
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);

  g_strlcpy (heartbeat->instance.id, id, sizeof heartbeat->instance.id);
  heartbeat->instance.started_at_msec = started_at;
  heartbeat->sequence = number;
  heartbeat->slots = 4;
  if (last >= first)
    {
      heartbeat->held_count = 1;
      heartbeat->held_ranges = g_new0 (struct key_range, 1);
      heartbeat->held_ranges[0].first = first;
      heartbeat->held_ranges[0].last = last;
      heartbeat->held_ranges[0].fence = 1;
    }
  return heartbeat;
}

/* Process HEARTBEAT and free it.  */
static enum grant_change
receive (struct grant *grant, struct heartbeat *heartbeat, gint64 now)
{
  enum grant_change change = grant_on_heartbeat (grant, heartbeat, now);

  heartbeat_clear (heartbeat);
  g_free (heartbeat);
  return change;
}

/* Grant FIRST to LAST for GRANT_USEC.  */
static void
grant_range (struct grant *grant, guint32 first, guint32 last,
             gint64 grant_usec, gint64 now)
{
  struct heartbeat_answer *answer = g_new0 (struct heartbeat_answer, 1);

  answer->renews_grant = TRUE;
  answer->grant_usec = grant_usec;
  answer->range_count = last >= first ? 1 : 0;
  answer->ranges[0].first = first;
  answer->ranges[0].last = last;
  grant_on_answered (grant, answer, now);
  g_free (answer);
}

/* A restarted process must not treat the grants of its predecessor as expired,
   even if a heartbeat of the server is the first message that it receives.  */
static void
test_restart (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct grant grant;
  const char *token;

  grant_init (&grant, GRANT_BY_ANSWER, 10 * SECOND);
  CU_ASSERT_EQUAL (receive (&grant, make_heartbeat ("s", 5, 8, 0, 9), SECOND),
                   GRANT_NEW_INSTANCE);
  CU_ASSERT_FALSE (grant_is_expired (&grant, 2 * SECOND));
  CU_ASSERT_FALSE (grant_is_released (&grant, &shard, 2 * SECOND, &token));
  CU_ASSERT_TRUE (grant_is_expired (&grant, 10 * SECOND));
  grant_clear (&grant);
}

/* A new instance that starts while this process runs holds no keys of the
   previous instance.  */
static void
test_new_instance (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct grant grant;
  const char *token;

  grant_init (&grant, GRANT_BY_ANSWER, 0);
  receive (&grant, make_heartbeat ("s", 5, 1, 1, 0), SECOND);
  grant_range (&grant, 0, 9, 3 * SECOND, SECOND);
  CU_ASSERT_TRUE (grant_covers_key (&grant, 3, SECOND));
  CU_ASSERT_EQUAL (
      receive (&grant, make_heartbeat ("s", 6, 1, 1, 0), 2 * SECOND),
      GRANT_NEW_INSTANCE);
  CU_ASSERT_FALSE (grant_covers_key (&grant, 3, 2 * SECOND));
  CU_ASSERT_TRUE (grant_is_released (&grant, &shard, 2 * SECOND, &token));
  grant_clear (&grant);
}

/* A heartbeat of an ended instance, or one that arrives out of order, changes
   nothing.  */
static void
test_late_heartbeats (void)
{
  struct grant grant;

  grant_init (&grant, GRANT_BY_ANSWER, 0);
  receive (&grant, make_heartbeat ("s", 6, 4, 1, 0), SECOND);
  CU_ASSERT_EQUAL (receive (&grant, make_heartbeat ("r", 5, 9, 0, 9), SECOND),
                   GRANT_OUTDATED);
  CU_ASSERT_EQUAL (receive (&grant, make_heartbeat ("s", 6, 3, 0, 9), SECOND),
                   GRANT_OUTDATED);
  CU_ASSERT_EQUAL (grant.u.answers.held_count, 0);
  CU_ASSERT_EQUAL (grant.heartbeat_sequence, 4);
  grant_clear (&grant);
}

/* A server that refuses connections gets no requests.  Such a server may still
   hold its granted keys until the grant expires.  */
static void
test_refused_is_no_proof (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct grant grant;
  const char *token;

  grant_init (&grant, GRANT_BY_ANSWER, 0);
  receive (&grant, make_heartbeat ("s", 6, 1, 1, 0), SECOND);
  grant_range (&grant, 0, 9, 3 * SECOND, SECOND);
  CU_ASSERT_FALSE (grant_on_connection_refused (&grant, 2 * SECOND));
  CU_ASSERT_TRUE (
      grant_on_connection_refused (&grant, 2 * SECOND + SECOND / 5));
  CU_ASSERT_FALSE (grant_covers_key (&grant, 3, 3 * SECOND));
  CU_ASSERT_FALSE (grant_is_released (&grant, &shard, 3 * SECOND, &token));
  CU_ASSERT_TRUE (grant_is_released (&grant, &shard, 4 * SECOND, &token));
  grant_clear (&grant);
}

/* A released range comes with its handover token.  */
static void
test_released (void)
{
  struct shard shard = { .first = 0, .last = 9 };
  struct heartbeat *heartbeat = make_heartbeat ("s", 6, 2, 10, 20);
  struct grant grant;
  const char *token;

  grant_init (&grant, GRANT_BY_ANSWER, 0);
  receive (&grant, make_heartbeat ("s", 6, 1, 0, 20), SECOND);
  grant_range (&grant, 10, 20, 3 * SECOND, SECOND);
  CU_ASSERT_FALSE (grant_is_released (&grant, &shard, SECOND, &token));
  heartbeat->released_count = 1;
  heartbeat->released_ranges = g_new0 (struct key_range, 1);
  heartbeat->released_ranges[0].last = 9;
  g_strlcpy (heartbeat->released_ranges[0].handover_token, "t",
             sizeof heartbeat->released_ranges[0].handover_token);
  receive (&grant, heartbeat, SECOND);
  CU_ASSERT_TRUE (grant_is_released (&grant, &shard, SECOND, &token));
  CU_ASSERT_STRING_EQUAL (token, "t");
  grant_clear (&grant);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "a restarted process", test_restart },
                          { "a new instance", test_new_instance },
                          { "late heartbeats", test_late_heartbeats },
                          { "refused connections", test_refused_is_no_proof },
                          { "released ranges", test_released },
                          CU_TEST_INFO_NULL };

  return suite_run ("grant", tests);
}

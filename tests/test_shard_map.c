#include "shard/key_rate.h"
#include "shard/shard_reconcile.h"
#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* Add a candidate.  */
static void
add_candidate (GArray *candidates, const char *name, guint32 weight)
{
  struct candidate candidate = { .weight = weight };

  g_strlcpy (candidate.node_name, name, sizeof candidate.node_name);
  g_strlcpy (candidate.instance.id, name, sizeof candidate.instance.id);
  candidate.instance.started_at_msec = 1;
  g_array_append_val (candidates, candidate);
}

/* Return three candidates of equal weight.  */
static GArray *
three_candidates (void)
{
  GArray *candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));

  add_candidate (candidates, "a", 1);
  add_candidate (candidates, "b", 1);
  add_candidate (candidates, "c", 1);
  return candidates;
}

/* Splitting and merging keep every key in exactly one shard.  */
static void
test_split (void)
{
  struct shard_map map;

  shard_map_init (&map, "s");
  shard_map_split (&map, 100);
  shard_map_split (&map, 50);
  shard_map_split (&map, 100);
  CU_ASSERT_EQUAL (map.shards->len, 3);
  CU_ASSERT_TRUE (shard_map_is_complete (&map));
  CU_ASSERT_EQUAL (shard_map_find (&map, 99)->first, 50);
  CU_ASSERT_EQUAL (shard_map_find (&map, 65535)->first, 100);
  shard_map_merge (&map);
  CU_ASSERT_EQUAL (map.shards->len, 1);
  CU_ASSERT_TRUE (shard_map_is_complete (&map));
  shard_map_clear (&map);
}

/* All keys are assigned, in equal shares, each shard with its own fence.  */
static void
test_first_placement (void)
{
  GArray *candidates = three_candidates ();
  struct shard_map map;

  shard_map_init (&map, "s");
  CU_ASSERT_TRUE (shard_place_unowned (&map, candidates, 0));
  CU_ASSERT_TRUE (shard_map_is_complete (&map));
  CU_ASSERT_TRUE (shard_owned_keys (&map, "a") > SHARD_KEY_COUNT / 4);
  CU_ASSERT_TRUE (shard_owned_keys (&map, "b") > SHARD_KEY_COUNT / 4);
  CU_ASSERT_TRUE (shard_owned_keys (&map, "c") > SHARD_KEY_COUNT / 4);
  CU_ASSERT_FALSE (shard_place_unowned (&map, candidates, 0));
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
}

/* A lost shard is not reassigned before the session of its owner has
   ended.  */
static void
test_lost_shard_waits (void)
{
  GArray *candidates = three_candidates ();
  struct shard_map map;
  struct shard *shard;
  guint64 fence;

  shard_map_init (&map, "s");
  shard_place_unowned (&map, candidates, 0);
  shard = shard_map_at (&map, 0);
  fence = shard->fence;
  shard->state = SHARD_LOST;
  shard->state_seen_at = 5 * SECOND;
  CU_ASSERT_FALSE (shard_place_unowned (&map, candidates, 5 * SECOND));
  CU_ASSERT_TRUE (shard_place_unowned (&map, candidates, 6 * SECOND));
  CU_ASSERT_TRUE (shard_map_at (&map, 0)->fence > fence);
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
}

/* A new candidate is to get a share of the keys; the others hold it until the
   handoff.  */
static void
test_balance (void)
{
  GArray *candidates = three_candidates ();
  struct shard_map map;
  guint32 before;

  shard_map_init (&map, "s");
  shard_place_unowned (&map, candidates, 0);
  before = shard_owned_keys (&map, "a");
  CU_ASSERT_FALSE (shard_place_balance (&map, candidates));
  add_candidate (candidates, "d", 1);
  CU_ASSERT_TRUE (shard_place_balance (&map, candidates));
  CU_ASSERT_TRUE (shard_owned_keys (&map, "d") > SHARD_KEY_COUNT / 5);
  CU_ASSERT_TRUE (shard_owned_keys (&map, "a") < before);
  CU_ASSERT_TRUE (shard_map_is_complete (&map));
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
}

/* A shard that is to move is left out of the ranges to hold.  The shard goes
   to the next owner with its handover token once the server has released
   it.  */
static void
test_reconcile (void)
{
  GArray *candidates = three_candidates ();
  struct heartbeat_answer *answer = g_new0 (struct heartbeat_answer, 1);
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);
  struct shard_owner owner = { "a", NULL, candidates, SECOND, FALSE, 0 };
  struct shard_map map;
  struct shard *shard;
  struct grant grant;

  grant_init (&grant, GRANT_BY_ANSWER, 0);
  g_strlcpy (heartbeat->instance.id, "a", sizeof heartbeat->instance.id);
  heartbeat->instance.started_at_msec = 1;
  heartbeat->sequence = 1;
  grant_on_heartbeat (&grant, heartbeat, SECOND);
  owner.grant = &grant;
  shard_map_init (&map, "s");
  shard_place_unowned (&map, candidates, 0);
  shard_ranges_to_hold (&map, &owner, answer);
  CU_ASSERT_EQUAL (answer->range_count, 1);
  answer->renews_grant = TRUE;
  answer->grant_usec = 3 * SECOND;
  grant_on_answered (&grant, answer, SECOND);
  shard = shard_map_at (&map, 0);
  CU_ASSERT_STRING_EQUAL_FATAL (shard->owner, "a");
  shard->next_owner = "b";
  CU_ASSERT_FALSE (shard_reconcile (&map, &owner));
  shard_ranges_to_hold (&map, &owner, answer);
  CU_ASSERT_EQUAL (answer->range_count, 0);
  grant_on_answered (&grant, answer, SECOND);
  heartbeat->sequence = 2;
  heartbeat->released_count = 1;
  heartbeat->released_ranges = g_new0 (struct key_range, 1);
  heartbeat->released_ranges[0].last = shard->last;
  g_strlcpy (heartbeat->released_ranges[0].handover_token, "t",
             sizeof heartbeat->released_ranges[0].handover_token);
  grant_on_heartbeat (&grant, heartbeat, SECOND);
  CU_ASSERT_TRUE (shard_reconcile (&map, &owner));
  shard = shard_map_at (&map, 0);
  CU_ASSERT_STRING_EQUAL (shard->owner, "b");
  CU_ASSERT_STRING_EQUAL (shard->handover_token, "t");
  grant_clear (&grant);
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  g_free (answer);
  heartbeat_clear (heartbeat);
  g_free (heartbeat);
}

/* The shortest range with about the wanted rate is found, without the key that
   has a much higher rate.  */
static void
test_key_rate (void)
{
  struct shard shard = { .first = 0, .last = SHARD_KEY_COUNT - 1 };
  struct key_rate_range range;
  struct key_rate rates;
  guint i;

  key_rate_init (&rates);
  for (i = 0; i < 600; i++)
    key_rate_add (&rates, 7);
  for (i = 0; i < 60; i++)
    key_rate_add (&rates, 100 + i % 3);
  key_rate_decay (&rates, SECOND);
  range = key_rate_find_range (&rates, &shard, 20);
  CU_ASSERT_TRUE (range.first >= 100);
  CU_ASSERT_TRUE (range.last <= 102);
  CU_ASSERT_TRUE (range.last >= range.first);
  range = key_rate_find_range (&rates, &shard, 100000);
  CU_ASSERT_TRUE (range.last < range.first);
  key_rate_clear (&rates);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "split and merge", test_split },
                          { "first placement", test_first_placement },
                          { "a lost shard", test_lost_shard_waits },
                          { "balance", test_balance },
                          { "reconcile an owner", test_reconcile },
                          { "key rate", test_key_rate },
                          CU_TEST_INFO_NULL };

  return suite_run ("shard_map", tests);
}

#include "shard/heat.h"
#include "shard/shard_duty.h"
#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* Adds a candidate.  */
static void
add_candidate (GArray *candidates, const char *name, guint32 weight)
{
  struct holder candidate = { .weight = weight };

  g_strlcpy (candidate.name, name, sizeof candidate.name);
  g_strlcpy (candidate.life.id, name, sizeof candidate.life.id);
  candidate.life.born = 1;
  g_array_append_val (candidates, candidate);
}

/* Returns three candidates of equal weight.  */
static GArray *
three_candidates (void)
{
  GArray *candidates = g_array_new (FALSE, TRUE, sizeof (struct holder));

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
  CU_ASSERT_TRUE (shard_map_is_whole (&map));
  CU_ASSERT_EQUAL (shard_map_find (&map, 99)->first, 50);
  CU_ASSERT_EQUAL (shard_map_find (&map, 65535)->first, 100);
  shard_map_merge (&map);
  CU_ASSERT_EQUAL (map.shards->len, 1);
  CU_ASSERT_TRUE (shard_map_is_whole (&map));
  shard_map_clear (&map);
}

/* All keys are assigned, in equal shares, each shard with its own fence.  */
static void
test_first_placement (void)
{
  GArray *candidates = three_candidates ();
  struct shard_map map;

  shard_map_init (&map, "s");
  CU_ASSERT_TRUE (shard_place_open (&map, candidates, 0));
  CU_ASSERT_TRUE (shard_map_is_whole (&map));
  CU_ASSERT_TRUE (shard_share (&map, "a") > SHARD_KEYS / 4);
  CU_ASSERT_TRUE (shard_share (&map, "b") > SHARD_KEYS / 4);
  CU_ASSERT_TRUE (shard_share (&map, "c") > SHARD_KEYS / 4);
  CU_ASSERT_FALSE (shard_place_open (&map, candidates, 0));
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
  shard_place_open (&map, candidates, 0);
  shard = shard_map_at (&map, 0);
  fence = shard->fence;
  shard->state = SHARD_LOST;
  shard->since = 5 * SECOND;
  CU_ASSERT_FALSE (shard_place_open (&map, candidates, 5 * SECOND));
  CU_ASSERT_TRUE (shard_place_open (&map, candidates, 6 * SECOND));
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
  shard_place_open (&map, candidates, 0);
  before = shard_share (&map, "a");
  CU_ASSERT_FALSE (shard_place_even (&map, candidates));
  add_candidate (candidates, "d", 1);
  CU_ASSERT_TRUE (shard_place_even (&map, candidates));
  CU_ASSERT_TRUE (shard_share (&map, "d") > SHARD_KEYS / 5);
  CU_ASSERT_TRUE (shard_share (&map, "a") < before);
  CU_ASSERT_TRUE (shard_map_is_whole (&map));
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
}

/* A shard that is to move is left out of the ranges to hold.  It goes to the
   next owner with its handover token once the server has released it.  */
static void
test_reconcile (void)
{
  GArray *candidates = three_candidates ();
  struct beat_answer *answer = g_new0 (struct beat_answer, 1);
  struct beat *beat = g_new0 (struct beat, 1);
  struct duty duty = { "a", NULL, candidates, SECOND };
  struct shard_map map;
  struct shard *shard;
  struct grant grant;

  grant_init (&grant, 0);
  g_strlcpy (beat->life.id, "a", sizeof beat->life.id);
  beat->life.born = 1;
  beat->number = 1;
  grant_on_beat (&grant, beat, SECOND);
  duty.grant = &grant;
  shard_map_init (&map, "s");
  shard_place_open (&map, candidates, 0);
  shard_rows (&map, &duty, answer);
  CU_ASSERT_EQUAL (answer->count, 1);
  answer->renews = TRUE;
  answer->hold_usec = 3 * SECOND;
  grant_give (&grant, answer, SECOND);
  shard = shard_map_at (&map, 0);
  CU_ASSERT_STRING_EQUAL_FATAL (shard->owner, "a");
  g_strlcpy (shard->next, "b", sizeof shard->next);
  CU_ASSERT_FALSE (shard_duty (&map, &duty));
  shard_rows (&map, &duty, answer);
  CU_ASSERT_EQUAL (answer->count, 0);
  grant_give (&grant, answer, SECOND);
  beat->number = 2;
  beat->freed = 1;
  beat->free[0].last = shard->last;
  g_strlcpy (beat->free[0].token, "t", sizeof beat->free[0].token);
  grant_on_beat (&grant, beat, SECOND);
  CU_ASSERT_TRUE (shard_duty (&map, &duty));
  shard = shard_map_at (&map, 0);
  CU_ASSERT_STRING_EQUAL (shard->owner, "b");
  CU_ASSERT_STRING_EQUAL (shard->handover, "t");
  grant_clear (&grant);
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  g_free (answer);
  g_free (beat);
}

/* The shortest range with about the wanted rate is found, without the key that
   has a much higher rate.  */
static void
test_key_rate (void)
{
  struct shard shard = { .first = 0, .last = SHARD_KEYS - 1 };
  struct heat_range range;
  struct heat heat;
  guint i;

  heat_init (&heat);
  for (i = 0; i < 600; i++)
    heat_add (&heat, 7);
  for (i = 0; i < 60; i++)
    heat_add (&heat, 100 + i % 3);
  heat_step (&heat, SECOND);
  range = heat_find (&heat, &shard, 20);
  CU_ASSERT_TRUE (range.first >= 100);
  CU_ASSERT_TRUE (range.last <= 102);
  CU_ASSERT_TRUE (range.last >= range.first);
  range = heat_find (&heat, &shard, 100000);
  CU_ASSERT_TRUE (range.last < range.first);
  heat_clear (&heat);
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

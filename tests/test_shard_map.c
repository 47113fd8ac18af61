#include "shard/key_rate.h"
#include "shard/shard_reconcile.h"
#include "tests/suite.h"

#define SECOND ((gint64)1000000)

/* Add a holder.  */
static void
add_holder (GArray *holders, const char *name, guint32 weight)
{
  struct candidate holder = { .weight = weight };

  g_strlcpy (holder.node_name, name, sizeof holder.node_name);
  g_strlcpy (holder.instance.id, name, sizeof holder.instance.id);
  holder.instance.started_at_msec = 1;
  g_array_append_val (holders, holder);
}

/* Three holders of the same weight.  */
static GArray *
three (void)
{
  GArray *holders = g_array_new (FALSE, TRUE, sizeof (struct candidate));

  add_holder (holders, "a", 1);
  add_holder (holders, "b", 1);
  add_holder (holders, "c", 1);
  return holders;
}

/* Splitting and merging keep all keys covered once.  */
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

/* All keys are given out, evenly, each under its own fence.  */
static void
test_first_placement (void)
{
  GArray *holders = three ();
  struct shard_map map;

  shard_map_init (&map, "s");
  CU_ASSERT_TRUE (shard_place_unowned (&map, holders, 0));
  CU_ASSERT_TRUE (shard_map_is_complete (&map));
  CU_ASSERT_TRUE (shard_owned_keys (&map, "a") > SHARD_KEY_COUNT / 4);
  CU_ASSERT_TRUE (shard_owned_keys (&map, "b") > SHARD_KEY_COUNT / 4);
  CU_ASSERT_TRUE (shard_owned_keys (&map, "c") > SHARD_KEY_COUNT / 4);
  CU_ASSERT_FALSE (shard_place_unowned (&map, holders, 0));
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
}

/* A lost shard is not given away before its owner's session is over.  */
static void
test_lost_waits (void)
{
  GArray *holders = three ();
  struct shard_map map;
  struct shard *shard;
  guint64 fence;

  shard_map_init (&map, "s");
  shard_place_unowned (&map, holders, 0);
  shard = shard_map_at (&map, 0);
  fence = shard->fence;
  shard->state = SHARD_LOST;
  shard->state_seen_at = 5 * SECOND;
  CU_ASSERT_FALSE (shard_place_unowned (&map, holders, 5 * SECOND));
  CU_ASSERT_TRUE (shard_place_unowned (&map, holders, 6 * SECOND));
  CU_ASSERT_TRUE (shard_map_at (&map, 0)->fence > fence);
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
}

/* An empty holder is given a share by the others, who keep it meanwhile.  */
static void
test_even (void)
{
  GArray *holders = three ();
  struct shard_map map;
  guint32 before;

  shard_map_init (&map, "s");
  shard_place_unowned (&map, holders, 0);
  before = shard_owned_keys (&map, "a");
  CU_ASSERT_FALSE (shard_place_balance (&map, holders));
  add_holder (holders, "d", 1);
  CU_ASSERT_TRUE (shard_place_balance (&map, holders));
  CU_ASSERT_TRUE (shard_owned_keys (&map, "d") > SHARD_KEY_COUNT / 5);
  CU_ASSERT_TRUE (shard_owned_keys (&map, "a") < before);
  CU_ASSERT_TRUE (shard_map_is_complete (&map));
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
}

/* A shard that is to go is left out of what the server is to hold, and passed
   on with its token once the server has freed it.  */
static void
test_duty (void)
{
  GArray *holders = three ();
  struct heartbeat_answer *answer = g_new0 (struct heartbeat_answer, 1);
  struct heartbeat *heartbeat = g_new0 (struct heartbeat, 1);
  struct shard_owner shard_owner = { "a", NULL, holders, SECOND };
  struct shard_map map;
  struct shard *shard;
  struct grant grant;

  grant_init (&grant, 0);
  g_strlcpy (heartbeat->instance.id, "a", sizeof heartbeat->instance.id);
  heartbeat->instance.started_at_msec = 1;
  heartbeat->sequence = 1;
  grant_on_heartbeat (&grant, heartbeat, SECOND);
  shard_owner.grant = &grant;
  shard_map_init (&map, "s");
  shard_place_unowned (&map, holders, 0);
  shard_ranges_to_hold (&map, &shard_owner, answer);
  CU_ASSERT_EQUAL (answer->range_count, 1);
  answer->renews_grant = TRUE;
  answer->grant_usec = 3 * SECOND;
  grant_on_answered (&grant, answer, SECOND);
  shard = shard_map_at (&map, 0);
  CU_ASSERT_STRING_EQUAL_FATAL (shard->owner, "a");
  g_strlcpy (shard->next_owner, "b", sizeof shard->next_owner);
  CU_ASSERT_FALSE (shard_reconcile (&map, &shard_owner));
  shard_ranges_to_hold (&map, &shard_owner, answer);
  CU_ASSERT_EQUAL (answer->range_count, 0);
  grant_on_answered (&grant, answer, SECOND);
  heartbeat->sequence = 2;
  heartbeat->released_count = 1;
  heartbeat->released_ranges[0].last = shard->last;
  g_strlcpy (heartbeat->released_ranges[0].handover_token, "t",
             sizeof heartbeat->released_ranges[0].handover_token);
  grant_on_heartbeat (&grant, heartbeat, SECOND);
  CU_ASSERT_TRUE (shard_reconcile (&map, &shard_owner));
  shard = shard_map_at (&map, 0);
  CU_ASSERT_STRING_EQUAL (shard->owner, "b");
  CU_ASSERT_STRING_EQUAL (shard->handover_token, "t");
  grant_clear (&grant);
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
  g_free (answer);
  g_free (heartbeat);
}

/* The shortest range with about the rate that is wanted is found, without the
   key that is asked for much more often.  */
static void
test_heat (void)
{
  struct shard shard = { .first = 0, .last = SHARD_KEY_COUNT - 1 };
  struct key_rate_range range;
  struct key_rate heat;
  guint i;

  key_rate_init (&heat);
  for (i = 0; i < 600; i++)
    key_rate_add (&heat, 7);
  for (i = 0; i < 60; i++)
    key_rate_add (&heat, 100 + i % 3);
  key_rate_decay (&heat, SECOND);
  range = key_rate_find_range (&heat, &shard, 20);
  CU_ASSERT_TRUE (range.first >= 100);
  CU_ASSERT_TRUE (range.last <= 102);
  CU_ASSERT_TRUE (range.last >= range.first);
  range = key_rate_find_range (&heat, &shard, 100000);
  CU_ASSERT_TRUE (range.last < range.first);
  key_rate_clear (&heat);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "split and merge", test_split },
                          { "first placement", test_first_placement },
                          { "a lost shard", test_lost_waits },
                          { "evening out", test_even },
                          { "duties of an owner", test_duty },
                          { "heat", test_heat },
                          CU_TEST_INFO_NULL };

  return suite_run ("shard_map", tests);
}

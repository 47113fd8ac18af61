#include "fleet/map_merge.h"
#include "tests/suite.h"

#include <string.h>

/* The merge of the map that a node knows with the one of a store that came
   back from an older copy.  */

#define MIDDLE 30000u

/* Set up MAP with one shard for all keys, which OWNER holds under FENCE.  */
static void
make_map (struct shard_map *map, const char *owner, guint64 fence)
{
  struct shard *shard;

  shard_map_init (map, "s");
  shard = shard_map_at (map, 0);
  shard->state = SHARD_HELD;
  shard->fence = fence;
  shard->owner = g_intern_string (owner);
  map->next_fence = fence + 1;
}

/* Guards against a store's older copy that takes a move back: the state with
   the higher fence counts, on whichever side it is.  */
static void
test_higher_fence (void)
{
  struct shard_map known;
  struct shard_map stored;
  struct shard_map merged;

  make_map (&known, "a", 4);
  shard_map_split (&known, MIDDLE);
  shard_map_at (&known, 1)->fence = 7;
  shard_map_at (&known, 1)->owner = "b";
  known.next_fence = 8;
  make_map (&stored, "c", 5);
  map_merge (&known, &stored, &merged);
  CU_ASSERT_TRUE (shard_map_is_complete (&merged));
  CU_ASSERT_STRING_EQUAL (shard_map_find (&merged, MIDDLE - 1)->owner, "c");
  CU_ASSERT_STRING_EQUAL (shard_map_find (&merged, MIDDLE)->owner, "b");
  CU_ASSERT_EQUAL (merged.next_fence, 8);
  CU_ASSERT_TRUE (merged.is_ahead);
  shard_map_clear (&known);
  shard_map_clear (&stored);
  shard_map_clear (&merged);
}

/* Guards against a loss that a node without the latest map noted: it says
   nothing of a later holder.  */
static void
test_loss_of_an_earlier_holder (void)
{
  struct shard_map known;
  struct shard_map stored;
  struct shard_map merged;

  make_map (&known, "a", 4);
  shard_map_at (&known, 0)->state = SHARD_LOST;
  shard_map_at (&known, 0)->loss_id = 9;
  make_map (&stored, "b", 5);
  map_merge (&known, &stored, &merged);
  CU_ASSERT_EQUAL (shard_map_at (&merged, 0)->state, SHARD_HELD);
  CU_ASSERT_STRING_EQUAL (shard_map_at (&merged, 0)->owner, "b");
  CU_ASSERT_FALSE (merged.is_ahead);
  shard_map_clear (&merged);
  shard_map_at (&stored, 0)->fence = 4;
  shard_map_at (&stored, 0)->owner = "a";
  map_merge (&known, &stored, &merged);
  CU_ASSERT_EQUAL (shard_map_at (&merged, 0)->state, SHARD_LOST);
  CU_ASSERT_TRUE (merged.is_ahead);
  shard_map_clear (&known);
  shard_map_clear (&stored);
  shard_map_clear (&merged);
}

/* Guards against keys that are granted again under the fence under which they
   were released.  */
static void
test_release (void)
{
  struct shard_map known;
  struct shard_map stored;
  struct shard_map merged;

  make_map (&known, "a", 4);
  shard_map_at (&known, 0)->state = SHARD_FREE;
  make_map (&stored, "a", 4);
  map_merge (&known, &stored, &merged);
  CU_ASSERT_EQUAL (shard_map_at (&merged, 0)->state, SHARD_FREE);
  CU_ASSERT_TRUE (merged.is_ahead);
  shard_map_clear (&merged);
  map_merge (&stored, &known, &merged);
  CU_ASSERT_EQUAL (shard_map_at (&merged, 0)->state, SHARD_FREE);
  CU_ASSERT_FALSE (merged.is_ahead);
  shard_map_clear (&known);
  shard_map_clear (&stored);
  shard_map_clear (&merged);
}

/* Guards against keys that go to another owner under the fence of the one
   before: two maps with the same fences were appended in different eras.  */
static void
test_two_owners (void)
{
  struct shard_map known;
  struct shard_map stored;
  struct shard_map merged;

  make_map (&known, "a", 4);
  make_map (&stored, "b", 4);
  map_merge (&known, &stored, &merged);
  CU_ASSERT_EQUAL (shard_map_at (&merged, 0)->state, SHARD_FREE);
  CU_ASSERT_TRUE (merged.is_ahead);
  shard_map_clear (&merged);
  shard_map_at (&stored, 0)->state = SHARD_FREE;
  map_merge (&known, &stored, &merged);
  CU_ASSERT_EQUAL (shard_map_at (&merged, 0)->state, SHARD_FREE);
  CU_ASSERT_FALSE (merged.is_ahead);
  shard_map_clear (&known);
  shard_map_clear (&stored);
  shard_map_clear (&merged);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "higher fence", test_higher_fence },
          { "loss of an earlier holder", test_loss_of_an_earlier_holder },
          { "release", test_release },
          { "two owners", test_two_owners },
          CU_TEST_INFO_NULL };

  return suite_run ("map_merge", tests);
}

#include "fleet/fleet_state.h"
#include "fleet/map_patch.h"
#include "tests/suite.h"
#include "wire/wire_fleet.h"

#define SERVICE "keys"
#define OWNERS 40      /* owners in the random test */
#define ROUNDS 600     /* maps in the random test */
#define FETCH_ONE_IN 3 /* a fetch follows a map in one case of this many */
#define LONG_SHARDS 200u

/* Return a map with COUNT shards of equal size and owners.  */
static struct shard_map
make_map (guint count)
{
  struct shard_map map;
  guint i;

  shard_map_init (&map, SERVICE);
  for (i = 1; i < count; i++)
    shard_map_split (&map, SHARD_KEY_COUNT / count * i);
  for (i = 0; i < map.shards->len; i++)
    {
      struct shard *shard = shard_map_at (&map, i);
      char owner[NAME_SIZE];
      shard->state = SHARD_HELD;
      shard->fence = map.next_fence++;
      g_snprintf (owner, sizeof owner, "host-with-a-name-%u", i);
      shard->owner = g_intern_string (owner);
      g_snprintf (shard->instance.id, sizeof shard->instance.id, "server-%u",
                  i);
    }
  return map;
}

/* Apply MAP to FLEET as the record at OFFSET.  */
static void
apply (struct fleet_state *fleet, const struct shard_map *map, guint64 offset)
{
  struct fleet_entry entry = { .offset = offset };

  entry.record.kind = FLEET_MAP;
  entry.record.u.map = *map;
  fleet_record_set_key (&entry.record);
  CU_ASSERT_TRUE (fleet_state_apply (fleet, &entry, 1));
  fleet_state_advance (fleet, offset + 1);
}

/* Bring TO, which may lack records, up to date from FROM.  Return the length
   of the message in bytes.  */
static guint
fetch (struct fleet_state *to, const struct fleet_state *from,
       gboolean with_patches)
{
  GArray *sent = fleet_state_since (from, to->applied_offset, with_patches);
  GByteArray *bytes = wire_fleet_encode_entries (sent);
  GArray *entries = wire_fleet_decode_entries (bytes->data, bytes->len);
  guint length = bytes->len;
  guint i;

  CU_ASSERT_PTR_NOT_NULL (entries);
  for (i = 0; entries != NULL && i < entries->len; i++)
    {
      struct fleet_entry *entry
          = &g_array_index (entries, struct fleet_entry, i);
      CU_ASSERT_TRUE (fleet_state_apply (to, entry, 1));
      fleet_record_clear (&entry->record);
    }
  for (i = 0; i < sent->len; i++)
    fleet_record_clear (&g_array_index (sent, struct fleet_entry, i).record);
  fleet_state_advance (to, from->applied_offset);
  g_clear_pointer (&entries, g_array_unref);
  g_array_free (sent, TRUE);
  g_byte_array_unref (bytes);
  return length;
}

/* Return whether A and B have the same map.  */
static gboolean
have_same_map (const struct fleet_state *a, const struct fleet_state *b)
{
  const struct shard_map *x = fleet_state_map (a, SERVICE);
  const struct shard_map *y = fleet_state_map (b, SERVICE);
  guint i;

  if (x->shards->len != y->shards->len || x->next_fence != y->next_fence
      || x->store_offset != y->store_offset)
    return FALSE;
  for (i = 0; i < x->shards->len; i++)
    if (!shard_equal (shard_map_at (x, i), shard_map_at (y, i)))
      return FALSE;
  return TRUE;
}

/* Make a random change to MAP.  */
static void
change (struct shard_map *map, GRand *random)
{
  guint32 first = (guint32)g_rand_int_range (random, 0, SHARD_KEY_COUNT - 400);
  guint32 last = first + (guint32)g_rand_int_range (random, 0, 400);
  guint i;

  shard_map_split (map, first);
  shard_map_split (map, last + 1);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      char owner[NAME_SIZE];
      if (shard->first < first || shard->last > last)
        continue;
      shard->state = (enum shard_state)g_rand_int_range (random, 0, 3);
      shard->fence = map->next_fence++;
      g_snprintf (owner, sizeof owner, "host-%d",
                  g_rand_int_range (random, 0, OWNERS));
      shard->owner = g_intern_string (owner);
    }
  if (g_rand_int_range (random, 0, 4) == 0)
    for (i = 0; i < map->shards->len; i++)
      shard_map_at (map, i)->fence = 1;
  shard_map_merge (map);
}

/* A node that fetches patches now and then always has the same map as the one
   that reads all records.  */
static void
test_random (void)
{
  GRand *random = g_rand_new_with_seed (7);
  struct shard_map map = make_map (OWNERS);
  struct fleet_state reader;
  struct fleet_state fetcher;
  guint64 offset;

  fleet_state_init (&reader);
  fleet_state_init (&fetcher);
  for (offset = 0; offset < ROUNDS; offset++)
    {
      if (offset > 0)
        change (&map, random);
      apply (&reader, &map, offset);
      if (g_rand_int_range (random, 0, FETCH_ONE_IN) != 0)
        continue;
      fetch (&fetcher, &reader, TRUE);
      CU_ASSERT_TRUE (have_same_map (&reader, &fetcher));
    }
  shard_map_clear (&map);
  fleet_state_clear (&reader);
  fleet_state_clear (&fetcher);
  g_rand_free (random);
}

/* One move in a long map is a short message.  */
static void
test_short (void)
{
  struct shard_map map = make_map (LONG_SHARDS);
  struct fleet_state reader;
  struct fleet_state fetcher;
  guint whole;

  fleet_state_init (&reader);
  fleet_state_init (&fetcher);
  apply (&reader, &map, 0);
  whole = fetch (&fetcher, &reader, TRUE);
  shard_map_at (&map, 17)->owner = "another";
  shard_map_at (&map, 17)->fence = map.next_fence++;
  apply (&reader, &map, 1);
  CU_ASSERT_TRUE (fetch (&fetcher, &reader, TRUE) < whole / 50);
  CU_ASSERT_TRUE (have_same_map (&reader, &fetcher));
  shard_map_clear (&map);
  fleet_state_clear (&reader);
  fleet_state_clear (&fetcher);
}

/* A patch is not applied to a map that it does not fit, nor to none.  */
static void
test_misfit (void)
{
  struct shard_map known = make_map (4);
  struct shard_map patch = make_map (4);
  struct shard_map result;

  shard_map_at (&patch, 3)->last += 1;
  CU_ASSERT_FALSE (map_patch_apply (&known, &patch, &result));
  shard_map_clear (&known);
  shard_map_clear (&patch);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "random changes", test_random },
                          { "length", test_short },
                          { "a patch that does not fit", test_misfit },
                          CU_TEST_INFO_NULL };

  return suite_run ("map_patch", tests);
}

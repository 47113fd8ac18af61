#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A map in which all keys are the node's own.  */
static void
own_all (struct bench *bench, struct shard_map *map)
{
  struct shard *shard;

  shard_map_init (map, OWN_SERVICE);
  shard = shard_map_at (map, 0);
  shard->state = SHARD_HELD;
  g_strlcpy (shard->owner, bench->mesh.settings.name, sizeof shard->owner);
}

/* Holders "a" and "b".  */
static GArray *
two_holders (void)
{
  GArray *holders = g_array_new (FALSE, TRUE, sizeof (struct holder));
  struct holder holder = { .weight = 1 };

  g_strlcpy (holder.node_name, "a", sizeof holder.node_name);
  g_array_append_val (holders, holder);
  g_strlcpy (holder.node_name, "b", sizeof holder.node_name);
  g_array_append_val (holders, holder);
  return holders;
}

/* Several offers stand side by side, also where they are marked again in the
   same map.  */
static void
test_several (void)
{
  struct bench *bench = bench_new ();
  GArray *holders = two_holders ();
  struct shard_map map;

  own_all (bench, &map);
  mesh_handoff_add (&bench->mesh, 10, 19, "b", bench->now);
  mesh_handoffs_apply (&bench->mesh, &map, holders, bench->now);
  mesh_handoff_add (&bench->mesh, 30, 30, "b", bench->now);
  mesh_handoffs_apply (&bench->mesh, &map, holders, bench->now);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 2);
  CU_ASSERT_STRING_EQUAL (shard_map_find (&map, 10)->next_owner, "b");
  CU_ASSERT_STRING_EQUAL (shard_map_find (&map, 20)->next_owner, "");
  CU_ASSERT_STRING_EQUAL (shard_map_find (&map, 30)->next_owner, "b");
  CU_ASSERT_TRUE (mesh_is_handed_off (&bench->mesh, 19));
  CU_ASSERT_FALSE (mesh_is_handed_off (&bench->mesh, 20));
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
  bench_free (bench);
}

/* An offer ends with its time, with its taker, and with the keys.  */
static void
test_ends (void)
{
  struct bench *bench = bench_new ();
  GArray *holders = two_holders ();
  struct shard_map map;

  own_all (bench, &map);
  mesh_handoff_add (&bench->mesh, 10, 19, "gone", bench->now);
  mesh_handoffs_apply (&bench->mesh, &map, holders, bench->now);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 0);
  mesh_handoff_add (&bench->mesh, 10, 19, "b", bench->now);
  mesh_handoffs_apply (&bench->mesh, &map, holders, bench->now + 60000 * MSEC);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 0);
  mesh_handoff_add (&bench->mesh, 10, 19, "b", bench->now);
  g_strlcpy (shard_map_at (&map, 0)->owner, "b", NAME_SIZE);
  mesh_handoffs_apply (&bench->mesh, &map, holders, bench->now);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 0);
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
  bench_free (bench);
}

/* Have the node's server be asked for KEY far more than it can do.  */
static void
overload (struct bench *bench, guint32 key)
{
  guint i;

  for (i = 0; i < 400; i++)
    {
      run_times_add (&bench->mesh.run_times, 1, 200 * MSEC);
      key_rate_add (&bench->mesh.key_rate, key - i % 20);
    }
  key_rate_decay (&bench->mesh.key_rate, bench->now);
  bench->now += 1000 * MSEC;
  key_rate_decay (&bench->mesh.key_rate, bench->now);
}

/* Keys are not given up for balance while the map that would name their next
   owner cannot be written: nobody would hold them until then.  */
static void
test_no_offer_while_map_is_stuck (void)
{
  struct bench *bench = bench_new ();
  GArray *holders = two_holders ();
  struct shard_map map;

  own_all (bench, &map);
  overload (bench, 100);
  bench->mesh.proposal.is_pending = TRUE;
  mesh_balance (&bench->mesh, &map, holders, bench->now, &bench->actions);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 0);
  bench->mesh.proposal.is_pending = FALSE;
  bench->mesh.store_lost = TRUE;
  mesh_balance (&bench->mesh, &map, holders, bench->now, &bench->actions);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 0);
  bench->mesh.store_lost = FALSE;
  mesh_balance (&bench->mesh, &map, holders, bench->now, &bench->actions);
  CU_ASSERT_EQUAL (bench->mesh.handoffs->len, 1);
  shard_map_clear (&map);
  g_array_free (holders, TRUE);
  bench_free (bench);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "several", test_several },
                          { "ends", test_ends },
                          { "no offer while the map is stuck",
                            test_no_offer_while_map_is_stuck },
                          CU_TEST_INFO_NULL };

  return suite_run ("offer", tests);
}

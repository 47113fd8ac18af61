#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* Set up MAP with all keys owned by the node.  */
static void
own_all_keys (struct fixture *fixture, struct shard_map *map)
{
  struct shard *shard;

  shard_map_init (map, OWN_SERVICE);
  shard = shard_map_at (map, 0);
  shard->state = SHARD_HELD;
  shard->owner = g_intern_string (fixture->mesh.settings.name);
}

/* Return the candidates "a" and "b".  */
static GArray *
two_candidates (void)
{
  GArray *candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  struct candidate candidate = { .weight = 1 };

  g_strlcpy (candidate.node_name, "a", sizeof candidate.node_name);
  g_array_append_val (candidates, candidate);
  g_strlcpy (candidate.node_name, "b", sizeof candidate.node_name);
  g_array_append_val (candidates, candidate);
  return candidates;
}

/* Several handoffs can be planned at the same time, also if they are applied
   to the same map twice.  */
static void
test_concurrent_handoffs (void)
{
  struct fixture *fixture = fixture_new ();
  GArray *candidates = two_candidates ();
  struct shard_map map;

  own_all_keys (fixture, &map);
  mesh_handoff_add (&fixture->mesh, 10, 19, "b", fixture->now);
  mesh_handoffs_apply (&fixture->mesh, &map, candidates, fixture->now);
  mesh_handoff_add (&fixture->mesh, 30, 30, "b", fixture->now);
  mesh_handoffs_apply (&fixture->mesh, &map, candidates, fixture->now);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 2);
  CU_ASSERT_STRING_EQUAL (shard_map_find (&map, 10)->next_owner, "b");
  CU_ASSERT_STRING_EQUAL (shard_map_find (&map, 20)->next_owner, "");
  CU_ASSERT_STRING_EQUAL (shard_map_find (&map, 30)->next_owner, "b");
  CU_ASSERT_TRUE (mesh_is_handed_off (&fixture->mesh, 19));
  CU_ASSERT_FALSE (mesh_is_handed_off (&fixture->mesh, 20));
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  fixture_free (fixture);
}

/* A handoff ends when it expires, when its receiver is no candidate, and when
   this node no longer owns the keys.  */
static void
test_handoff_ends (void)
{
  struct fixture *fixture = fixture_new ();
  GArray *candidates = two_candidates ();
  struct shard_map map;

  own_all_keys (fixture, &map);
  mesh_handoff_add (&fixture->mesh, 10, 19, "gone", fixture->now);
  mesh_handoffs_apply (&fixture->mesh, &map, candidates, fixture->now);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 0);
  mesh_handoff_add (&fixture->mesh, 10, 19, "b", fixture->now);
  mesh_handoffs_apply (&fixture->mesh, &map, candidates,
                       fixture->now + 60000 * MSEC);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 0);
  mesh_handoff_add (&fixture->mesh, 10, 19, "b", fixture->now);
  shard_map_at (&map, 0)->owner = "b";
  mesh_handoffs_apply (&fixture->mesh, &map, candidates, fixture->now);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 0);
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  fixture_free (fixture);
}

/* Load the node's server with far more requests for KEY and the 19 keys below
   it than it has capacity for.  */
static void
overload_key (struct fixture *fixture, guint32 key)
{
  guint i;

  for (i = 0; i < 400; i++)
    {
      run_times_add (&fixture->mesh.run_times, 1, 200 * MSEC);
      key_rate_add (&fixture->mesh.key_rate, key - i % 20);
    }
  key_rate_decay (&fixture->mesh.key_rate, fixture->now);
  fixture->now += 1000 * MSEC;
  key_rate_decay (&fixture->mesh.key_rate, fixture->now);
}

/* Keys are not handed off for balance while the map that would name their next
   owner cannot be written, since they would have no holder until then.  */
static void
test_no_handoff_while_map_blocked (void)
{
  struct fixture *fixture = fixture_new ();
  GArray *candidates = two_candidates ();
  struct shard_map map;

  own_all_keys (fixture, &map);
  overload_key (fixture, 100);
  fixture->mesh.proposal.is_pending = TRUE;
  mesh_balance (&fixture->mesh, &map, candidates, fixture->now,
                &fixture->actions);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 0);
  fixture->mesh.proposal.is_pending = FALSE;
  fixture->mesh.store_lost = TRUE;
  mesh_balance (&fixture->mesh, &map, candidates, fixture->now,
                &fixture->actions);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 0);
  fixture->mesh.store_lost = FALSE;
  mesh_balance (&fixture->mesh, &map, candidates, fixture->now,
                &fixture->actions);
  CU_ASSERT_EQUAL (fixture->mesh.handoffs->len, 1);
  shard_map_clear (&map);
  g_array_free (candidates, TRUE);
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "concurrent handoffs", test_concurrent_handoffs },
                          { "end of a handoff", test_handoff_ends },
                          { "no handoff while the map is blocked",
                            test_no_handoff_while_map_blocked },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_handoff", tests);
}

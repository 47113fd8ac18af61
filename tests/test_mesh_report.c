#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* A silent node that others watch is known by what they say; a later word of
   it, told by anyone, counts more.  */
static void
test_news (void)
{
  struct bench *bench = bench_new ();
  struct handle other = fleet_state_find (&bench->mesh.fleet, "b");
  struct peer_state *peer_state = table_get (&bench->mesh.peers, other);
  struct gossip gossip = { .sequence = 1, .report_count = 1 };

  peer_state->is_neighbour = FALSE;
  peer_state_set_watched (peer_state, FALSE, bench->now);
  bench->now += 5000 * MSEC;
  CU_ASSERT_TRUE (peer_state_is_responsive (peer_state, bench->now));
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].sequence = 8;
  gossip.reports[0].age_msec = 1200;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer_state, bench->now));
  gossip.reports[0].sequence = 7;
  gossip.reports[0].age_msec = 4000;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer_state, bench->now));
  gossip.reports[0].sequence = 9;
  gossip.reports[0].age_msec = 300;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  CU_ASSERT_TRUE (peer_state_is_responsive (peer_state, bench->now));
  bench_free (bench);
}

/* A node that is watched anew, as neighbours on the ring change, is no proof
   that it lives: it stays silent, and no later word of it is told.  */
static void
test_watched_anew (void)
{
  struct bench *bench = bench_new ();
  struct handle other = fleet_state_find (&bench->mesh.fleet, "b");
  struct peer_state *peer_state = table_get (&bench->mesh.peers, other);
  struct gossip gossip = { .sequence = 1, .report_count = 1 };
  struct gossip said = { 0 };

  peer_state_set_watched (peer_state, FALSE, bench->now);
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].sequence = 8;
  gossip.reports[0].age_msec = 1500;
  bench->now += 5000 * MSEC;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  peer_state_set_watched (peer_state, TRUE, bench->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer_state, bench->now));
  bench->now += 300 * MSEC;
  CU_ASSERT_TRUE (mesh_is_lost (&bench->mesh, other, bench->now));
  peer_state->is_unresponsive = TRUE;
  mesh_report_fill (&bench->mesh, &said, bench->now);
  CU_ASSERT_EQUAL (said.report_count, 1);
  CU_ASSERT_EQUAL (said.reports[0].age_msec, 1800);
  bench_free (bench);
}

/* Word of a node that is gone grows old also where it is passed on between
   nodes that take a while to read it: none of them gets it any younger.  */
static void
test_gone_node_passes_for_alive (void)
{
  struct bench *bench = bench_new ();
  struct handle other = fleet_state_find (&bench->mesh.fleet, "b");
  struct peer_state *peer_state = table_get (&bench->mesh.peers, other);
  struct gossip gossip = { .sequence = 1, .report_count = 1 };
  guint i;

  peer_state->is_neighbour = FALSE;
  peer_state_set_watched (peer_state, FALSE, bench->now);
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].sequence = 8;
  gossip.reports[0].age_msec = 600;
  for (i = 0; i < 40; i++)
    {
      bench->now += 100 * MSEC;
      mesh_report_apply (&bench->mesh, &gossip, bench->now);
    }
  CU_ASSERT_TRUE (bench->now - peer_state_last_reported_at (peer_state)
                  >= 3900 * MSEC);
  gossip.reports[0].age_msec = 1000;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer_state, bench->now));
  CU_ASSERT_TRUE (mesh_is_lost (&bench->mesh, other, bench->now));
  bench_free (bench);
}

/* What a process of a version without stamps tells goes by its age.  */
static void
test_news_without_stamps (void)
{
  struct bench *bench = bench_new ();
  struct handle other = fleet_state_find (&bench->mesh.fleet, "b");
  struct peer_state *peer_state = table_get (&bench->mesh.peers, other);
  struct gossip gossip = { .report_count = 1 };

  peer_state->is_neighbour = FALSE;
  peer_state_set_watched (peer_state, FALSE, bench->now);
  bench->now += 5000 * MSEC;
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].age_msec = 1200;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer_state, bench->now));
  gossip.reports[0].age_msec = 300;
  mesh_report_apply (&bench->mesh, &gossip, bench->now);
  CU_ASSERT_TRUE (peer_state_is_responsive (peer_state, bench->now));
  bench_free (bench);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "news", test_news },
          { "watched anew", test_watched_anew },
          { "gone node passes for alive", test_gone_node_passes_for_alive },
          { "news without stamps", test_news_without_stamps },
          CU_TEST_INFO_NULL };

  return suite_run ("news", tests);
}

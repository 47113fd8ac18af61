#include "mesh/mesh_parts.h"
#include "tests/mesh_fixture.h"

/* The state of a node that only other nodes watch follows from their reports;
   the report of the latest message counts.  */
static void
test_reports (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle other_member = fleet_state_find (&fixture->mesh.fleet, "b");
  struct peer_state *peer = table_get (&fixture->mesh.peers, other_member);
  struct gossip gossip = { .sequence = 1, .report_count = 1 };

  peer->is_neighbour = FALSE;
  peer_state_set_watched (peer, FALSE, fixture->now);
  fixture->now += 5000 * MSEC;
  CU_ASSERT_TRUE (peer_state_is_responsive (peer, fixture->now));
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].sequence = 8;
  gossip.reports[0].age_msec = 1200;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer, fixture->now));
  gossip.reports[0].sequence = 7;
  gossip.reports[0].age_msec = 4000;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer, fixture->now));
  gossip.reports[0].sequence = 9;
  gossip.reports[0].age_msec = 300;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  CU_ASSERT_TRUE (peer_state_is_responsive (peer, fixture->now));
  fixture_free (fixture);
}

/* An unresponsive node that this node starts to watch, as neighbours on the
   ring change, stays unresponsive, and no later message from it is
   reported.  */
static void
test_newly_watched_node (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle other_member = fleet_state_find (&fixture->mesh.fleet, "b");
  struct peer_state *peer = table_get (&fixture->mesh.peers, other_member);
  struct gossip gossip = { .sequence = 1, .report_count = 1 };
  struct gossip sent = { 0 };

  peer_state_set_watched (peer, FALSE, fixture->now);
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].sequence = 8;
  gossip.reports[0].age_msec = 1500;
  fixture->now += 5000 * MSEC;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  peer_state_set_watched (peer, TRUE, fixture->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer, fixture->now));
  fixture->now += 300 * MSEC;
  CU_ASSERT_TRUE (mesh_is_lost (&fixture->mesh, other_member, fixture->now));
  peer->is_unresponsive = TRUE;
  mesh_report_fill (&fixture->mesh, &sent, fixture->now);
  CU_ASSERT_EQUAL (sent.report_count, 1);
  CU_ASSERT_EQUAL (sent.reports[0].age_msec, 1800);
  fixture_free (fixture);
}

/* A dead node must not be reported alive when nodes pass on reports that they
   read late: no report may make the last message of the dead node appear
   younger.  */
static void
test_dead_node_reported_alive (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle other_member = fleet_state_find (&fixture->mesh.fleet, "b");
  struct peer_state *peer = table_get (&fixture->mesh.peers, other_member);
  struct gossip gossip = { .sequence = 1, .report_count = 1 };
  guint i;

  peer->is_neighbour = FALSE;
  peer_state_set_watched (peer, FALSE, fixture->now);
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].sequence = 8;
  gossip.reports[0].age_msec = 600;
  for (i = 0; i < 40; i++)
    {
      fixture->now += 100 * MSEC;
      mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
    }
  CU_ASSERT_TRUE (fixture->now - peer_state_last_reported_at (peer)
                  >= 3900 * MSEC);
  gossip.reports[0].age_msec = 1000;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer, fixture->now));
  CU_ASSERT_TRUE (mesh_is_lost (&fixture->mesh, other_member, fixture->now));
  fixture_free (fixture);
}

/* Reports of a process of a version without sequence numbers are ordered by
   their age.  */
static void
test_reports_without_sequence (void)
{
  struct fixture *fixture = fixture_new ();
  struct handle other_member = fleet_state_find (&fixture->mesh.fleet, "b");
  struct peer_state *peer = table_get (&fixture->mesh.peers, other_member);
  struct gossip gossip = { .report_count = 1 };

  peer->is_neighbour = FALSE;
  peer_state_set_watched (peer, FALSE, fixture->now);
  fixture->now += 5000 * MSEC;
  gossip.reports[0].incarnation = 77;
  gossip.reports[0].age_msec = 1200;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  CU_ASSERT_FALSE (peer_state_is_responsive (peer, fixture->now));
  gossip.reports[0].age_msec = 300;
  mesh_report_apply (&fixture->mesh, &gossip, fixture->now);
  CU_ASSERT_TRUE (peer_state_is_responsive (peer, fixture->now));
  fixture_free (fixture);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "reports of others", test_reports },
          { "newly watched node", test_newly_watched_node },
          { "dead node reported alive", test_dead_node_reported_alive },
          { "reports without sequence numbers",
            test_reports_without_sequence },
          CU_TEST_INFO_NULL };

  return suite_run ("mesh_report", tests);
}

#include "tests/fleet.h"
#include "tests/suite.h"

#include "decide/certificate.h"
#include "decide/timing.h"

static struct fleet fleet; /* the nodes under test */

/* Append a witness set of COUNT nodes from FIRST on for node 1, which cannot
   append sets itself from now on.  Return its offset.  */
static guint64
set_witnesses (guint64 first, guint32 count)
{
  const struct view_node *node
      = view_node_at (&fleet.cores[0].view, fleet.cores[0].self);

  fleet.refused_kind = RECORD_WITNESS_SET;
  return fleet_append (&fleet,
                       make_witness (1, node->witness_epoch, first, count));
}

/* Cut the connection between node I and node 1 if CUT is set, otherwise
   restore it.  */
static void
cut_from_first (int i, gboolean cut)
{
  fleet.cut[i][0] = fleet.cut[0][i] = cut;
}

/* The lease expires LEASE_USEC after the last acked renewal was sent.  */
static void
test_expiry (void)
{
  gint64 until;

  fleet_init (&fleet, 6, TRUE);
  fleet_run (&fleet, 1000000);
  until = fleet.cores[0].lease.expires_at;
  CU_ASSERT_TRUE (until <= fleet.now + LEASE_USEC);
  CU_ASSERT_TRUE (until > fleet.now + LEASE_USEC - 2 * RENEWAL_INTERVAL_USEC);
  fleet_isolate (&fleet, 0, TRUE);
  fleet_run (&fleet, until - fleet.now - FLEET_STEP_USEC);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  fleet_run (&fleet, 2 * FLEET_STEP_USEC);
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  CU_ASSERT_EQUAL (fleet_serve_right (&fleet, 0, 0).reason,
                   REASON_LEASE_EXPIRED);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Return a node that is not a witness of node 1.  */
static guint64
find_non_witness (void)
{
  const struct view_node *node
      = view_node_at (&fleet.cores[0].view, fleet.cores[0].self);
  guint64 other = 2;
  guint32 i = 0;

  while (i < node->witness_count)
    if (node->witnesses[i++] == other)
      {
        other++;
        i = 0;
      }
  return other;
}

/* Once the old set has acked the change, its earlier acks no longer count: the
   new set, which never acked, can issue a certificate at any time.  */
static void
test_old_acks_outlive_change (void)
{
  guint64 other;
  gint64 end;

  fleet_init (&fleet, 9, TRUE);
  fleet_run (&fleet, 1000000);
  other = find_non_witness ();
  cut_from_first ((int)other - 1, TRUE);
  set_witnesses (other, 1);
  end = fleet.now + LEASE_USEC;
  while (!fleet.cores[0].lease.is_joint && fleet.now < end)
    fleet_run (&fleet, FLEET_STEP_USEC);
  CU_ASSERT_TRUE (fleet.cores[0].lease.is_joint);
  while (fleet.cores[0].lease.is_joint && fleet.now < end)
    fleet_run (&fleet, FLEET_STEP_USEC);
  CU_ASSERT_FALSE (fleet.cores[0].lease.is_joint);
  CU_ASSERT_FALSE (lease_is_held (&fleet.cores[0].lease, fleet.now));
  fleet_clear (&fleet);
}

/* While a new set replaces the old one, the lease needs a majority of each;
   once a majority of the old set has acked the change, only the new set
   counts.  */
static void
test_change (void)
{
  guint64 epoch;

  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  CU_ASSERT_FALSE (fleet.cores[0].lease.is_joint);
  cut_from_first (1, TRUE);
  cut_from_first (2, TRUE);
  cut_from_first (3, TRUE);
  epoch = set_witnesses (5, 3);
  fleet_run (&fleet, 600000);
  CU_ASSERT_TRUE (fleet.cores[0].lease.is_joint);
  CU_ASSERT_EQUAL (fleet.cores[0].lease.floor, epoch);
  CU_ASSERT_FALSE (lease_is_floor_acked (&fleet.cores[0].lease, epoch));
  fleet_run (&fleet, 1000000);
  CU_ASSERT_FALSE (lease_is_held (&fleet.cores[0].lease, fleet.now));
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  set_witnesses (5, 3);
  fleet_run (&fleet, 500000);
  CU_ASSERT_FALSE (fleet.cores[0].lease.is_joint);
  cut_from_first (1, TRUE);
  cut_from_first (2, TRUE);
  cut_from_first (3, TRUE);
  fleet_run (&fleet, 3000000);
  CU_ASSERT_TRUE (lease_is_held (&fleet.cores[0].lease, fleet.now));
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* If the node has not begun the change to a new set, the old set counts
   alone.  Node 1 does not read the change, and the new witnesses receive no
   renewals.  */
static void
test_removed_before_change (void)
{
  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  fleet.is_lagging[0] = TRUE;
  set_witnesses (5, 3);
  fleet_run (&fleet, 3000000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  CU_ASSERT_FALSE (fleet.exit_requested[0]);
  fleet.up[0] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 4000000), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* Once the change is complete, promises of the old set are no certificate, and
   the new set is enough even if the old witnesses are gone.  */
static void
test_removed_after_change (void)
{
  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  set_witnesses (5, 3);
  fleet_run (&fleet, 1000000);
  cut_from_first (1, TRUE);
  cut_from_first (2, TRUE);
  cut_from_first (3, TRUE);
  fleet_run (&fleet, 4000000);
  CU_ASSERT_PTR_NULL (certificate_find (&fleet.cores[1], 1));
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  fleet.up[0] = fleet.up[2] = fleet.up[3] = FALSE;
  CU_ASSERT_EQUAL (fleet_wait (&fleet, 0, 4000000), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A collector that knows only the old set applies the log up to the floor
   before it issues a certificate, and finds the new set there.  */
static void
test_collector_lags (void)
{
  int i;

  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  for (i = 1; i <= 3; i++)
    fleet.is_lagging[i] = TRUE;
  set_witnesses (5, 3);
  fleet_run (&fleet, 1000000);
  for (i = 1; i <= 3; i++)
    cut_from_first (i, TRUE);
  fleet_run (&fleet, 4000000);
  for (i = 1; i <= 3; i++)
    CU_ASSERT_PTR_NULL (certificate_find (&fleet.cores[i], 1));
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A witness set is not adopted while an earlier move on the log has not
   begun.  */
static void
test_change_in_order (void)
{
  guint64 move;

  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  fleet.is_lagging[1] = TRUE;
  move = fleet_append (
      &fleet,
      make_slice (RECORD_MOVE, 0, fleet_slice (&fleet, 0)->epoch, 5, 6, 3));
  set_witnesses (5, 3);
  fleet_run (&fleet, 1000000);
  CU_ASSERT_TRUE (fleet.cores[0].lease.floor < move);
  fleet.is_lagging[1] = FALSE;
  fleet_run (&fleet, 1000000);
  CU_ASSERT_TRUE (fleet.cores[0].lease.floor > move);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 4);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* No move begins while an earlier witness set on the log waits for the end of
   the change before it.  */
static void
test_move_behind_change (void)
{
  guint64 waiting;
  int i;

  fleet_init (&fleet, 9, TRUE);
  set_witnesses (2, 3);
  fleet_run (&fleet, 500000);
  for (i = 1; i <= 3; i++)
    witness_find (&fleet.cores[i].witness, 1)->has_promised = TRUE;
  set_witnesses (5, 3);
  fleet_run (&fleet, 200000);
  waiting = set_witnesses (6, 3);
  fleet_append (&fleet, make_slice (RECORD_MOVE, 0,
                                    fleet_slice (&fleet, 0)->epoch, 5, 6, 3));
  fleet_run (&fleet, 500000);
  CU_ASSERT_TRUE (fleet.cores[0].lease.is_joint);
  CU_ASSERT_TRUE (fleet.cores[0].lease.floor < waiting);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A node whose witnesses are removed on the log proposes its own removal with
   its floor and exits, to restart as a new incarnation.  */
static void
test_no_witnesses (void)
{
  struct record removed;

  fleet_init (&fleet, 9, TRUE);
  set_witnesses (7, 3);
  fleet_run (&fleet, 500000);
  fleet.up[6] = fleet.up[7] = FALSE;
  removed = make_removed (7, 0, REMOVAL_DECLARED);
  fleet_append (&fleet, removed);
  removed = make_removed (8, 0, REMOVAL_DECLARED);
  fleet_append (&fleet, removed);
  fleet_run (&fleet, LEASE_USEC + 500000);
  CU_ASSERT_TRUE (fleet.exit_requested[0]);
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  CU_ASSERT_TRUE (view_was_removed (&fleet.cores[1].view, 1));
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "expiry", test_expiry },
          { "change", test_change },
          { "old acks outlive change", test_old_acks_outlive_change },
          { "removed before change", test_removed_before_change },
          { "removed after change", test_removed_after_change },
          { "collector lags", test_collector_lags },
          { "change in order", test_change_in_order },
          { "move behind change", test_move_behind_change },
          { "no witnesses", test_no_witnesses },
          CU_TEST_INFO_NULL };

  return suite_run ("lease", tests);
}

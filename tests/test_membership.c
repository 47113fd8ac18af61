#include "decide/witness_set.h"
#include "tests/fleet.h"
#include "tests/suite.h"

static struct fleet fleet; /* the nodes under test */

/* A process that starts at the address of another retires it: the slices pass
   on at once, and the old incarnation goes out.  */
static void
test_restart (void)
{
  fleet_init (&fleet, 6, TRUE);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 0);
  fleet_restart (&fleet, 0);
  fleet_run (&fleet, 500000);
  CU_ASSERT_EQUAL (fleet_server (&fleet, 0), 1);
  fleet_run (&fleet, 1000000);
  CU_ASSERT_TRUE (view_was_removed (&fleet.cores[3].view, 1));
  CU_ASSERT_TRUE (lease_is_held (&fleet.cores[0].lease, fleet.now));
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

/* A whole fleet that lost power comes back: each node has a lease, the old
   incarnations are out, and slices can be assigned anew.  */
static void
test_restart_all (void)
{
  const struct view *view = &fleet.cores[0].view;
  int i;

  fleet_init (&fleet, 6, TRUE);
  for (i = 0; i < 6; i++)
    fleet_restart (&fleet, i);
  fleet_run (&fleet, 4000000);
  for (i = 0; i < 6; i++)
    {
      CU_ASSERT_TRUE (lease_is_held (&fleet.cores[i].lease, fleet.now));
      CU_ASSERT_TRUE (view_was_removed (view, (guint64)i + 1));
    }
  CU_ASSERT_EQUAL (view->nodes.count, 6);
  CU_ASSERT_PTR_NULL (view_node_at (view, fleet_slice (&fleet, 0)->owner));
  fleet_clear (&fleet);
}

/* A node that an operator declares out ends, whatever its lease says.  */
static void
test_declared_out (void)
{
  fleet_init (&fleet, 6, TRUE);
  fleet_append (&fleet, make_removed (1, 0, REMOVAL_DECLARED));
  fleet_run (&fleet, 100000);
  CU_ASSERT_TRUE (fleet.exit_requested[0]);
  CU_ASSERT_FALSE (fleet_serve_right (&fleet, 0, 0).may_serve);
  fleet_clear (&fleet);
}

/* Five witnesses stand on other hosts, in every zone and at most two in one,
   so that no zone takes a majority of them with it.  */
static void
test_witnesses_spread (void)
{
  const struct view *view = &fleet.cores[0].view;
  guint64 n;

  fleet_init (&fleet, 9, TRUE);
  for (n = 1; n <= 9; n++)
    {
      const struct view_node *node
          = view_node_at (view, view_find_node (view, n));
      guint zones[3] = { 0, 0, 0 };
      guint32 i;
      CU_ASSERT_EQUAL (node->witness_count, 5);
      for (i = 0; i < node->witness_count; i++)
        {
          CU_ASSERT_NOT_EQUAL (node->witnesses[i], n);
          zones[node->witnesses[i] % 3]++;
        }
      for (i = 0; i < 3; i++)
        CU_ASSERT_TRUE (zones[i] == 1 || zones[i] == 2);
    }
  fleet_clear (&fleet);
}

/* A witness that is out, or that goes on refusing, is replaced.  */
static void
test_witness_replaced (void)
{
  const struct view *view = &fleet.cores[0].view;
  guint64 first;
  guint64 second;

  fleet_init (&fleet, 9, TRUE);
  first = view_node_at (view, fleet.cores[0].self)->witnesses[0];
  second = view_node_at (view, fleet.cores[0].self)->witnesses[1];
  fleet.up[first - 1] = FALSE;
  fleet_run (&fleet, 5000000);
  CU_ASSERT_FALSE (fleet_is_witness (&fleet, 1, (int)first - 1));
  witness_find (&fleet.cores[second - 1].witness, 1)->has_promised = TRUE;
  fleet_run (&fleet, 5000000);
  CU_ASSERT_FALSE (fleet_is_witness (&fleet, 1, (int)second - 1));
  CU_ASSERT_EQUAL (view_node_at (view, fleet.cores[0].self)->witness_count, 5);
  CU_ASSERT_TRUE (lease_is_held (&fleet.cores[0].lease, fleet.now));
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "restart", test_restart },
                                 { "restart all", test_restart_all },
                                 { "declared out", test_declared_out },
                                 { "witnesses spread", test_witnesses_spread },
                                 { "witness replaced", test_witness_replaced },
                                 CU_TEST_INFO_NULL };

  return suite_run ("member", tests);
}

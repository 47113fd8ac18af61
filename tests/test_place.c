#include "standins/fleet.h"
#include "tests/suite.h"

#include <string.h>

/* Add the members of FLEET, without load, to PLACEMENT.  */
static void
add_members (struct placement *placement, const struct fleet *fleet)
{
  const GArray *members = fleet_service (fleet)->members;
  guint i;

  place_init (placement);
  for (i = 0; i < members->len; i++)
    {
      place_add_member (placement, &fleet->view,
                        g_array_index (members, struct handle, i));
      place_sort_in (placement, i);
    }
}

/* Successors are on different hosts, each in a zone of its own.  */
static void
test_successors_spread (void)
{
  static const guint32 zones[] = { 0, 0, 1, 1, 1, 2 };
  struct record_slice item = { 0 };
  struct fleet fleet;
  struct placement placement;
  guint32 first;
  guint32 second;
  guint i;

  fleet_init (&fleet, 8);
  for (i = 0; i < G_N_ELEMENTS (zones); i++)
    fleet_join (&fleet, zones[i], 20);
  add_members (&placement, &fleet);
  place_choose_successors (&placement, 0, &item);
  first = place_find_row (&placement,
                          view_find_node (&fleet.view, item.successors[0]));
  second = place_find_row (&placement,
                           view_find_node (&fleet.view, item.successors[1]));
  CU_ASSERT_NOT_EQUAL_FATAL (first, PLACE_NONE);
  CU_ASSERT_NOT_EQUAL_FATAL (second, PLACE_NONE);
  CU_ASSERT_NOT_EQUAL (place_member_at (&placement, first)->zone_row, 0);
  CU_ASSERT_NOT_EQUAL (place_member_at (&placement, second)->zone_row, 0);
  CU_ASSERT_NOT_EQUAL (place_member_at (&placement, first)->zone_row,
                       place_member_at (&placement, second)->zone_row);
  CU_ASSERT_EQUAL (place_zone_spread (&placement), 3);
  place_clear (&placement);
  fleet_clear (&fleet);
}

/* With a single zone the successors are still on different hosts.  */
static void
test_one_zone (void)
{
  struct record_slice item = { 0 };
  struct fleet fleet;
  struct placement placement;

  fleet_init (&fleet, 8);
  fleet_join (&fleet, 0, 20);
  fleet_join (&fleet, 0, 20);
  add_members (&placement, &fleet);
  place_choose_successors (&placement, 0, &item);
  CU_ASSERT_EQUAL (item.successors[0], 2);
  CU_ASSERT_EQUAL (item.successors[1], 0);
  place_clear (&placement);
  fleet_clear (&fleet);
}

/* The least loaded member is the one with the least load for its slots, also
   after changes of load.  */
static void
test_least_loaded (void)
{
  struct fleet fleet;
  struct placement placement;

  fleet_init (&fleet, 8);
  fleet_join (&fleet, 0, 10);
  fleet_join (&fleet, 1, 20);
  add_members (&placement, &fleet);
  place_add_load (&placement, 0, 2);
  place_add_load (&placement, 1, 3);
  CU_ASSERT_EQUAL (place_least_loaded (&placement), 1);
  CU_ASSERT_EQUAL (place_most_loaded (&placement), 0);
  place_add_load (&placement, 1, 3);
  CU_ASSERT_EQUAL (place_least_loaded (&placement), 0);
  place_exclude (&placement, 0);
  CU_ASSERT_EQUAL (place_least_loaded (&placement), 1);
  place_clear (&placement);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "successors spread", test_successors_spread },
          { "one zone", test_one_zone },
          { "least loaded", test_least_loaded },
          CU_TEST_INFO_NULL };

  return suite_run ("place", tests);
}

#include "standins/fleet.h"
#include "tests/suite.h"

#include <string.h>

/* Take the members of FLEET in, which carry nothing.  */
static void
take_members (struct placement *place, const struct fleet *fleet)
{
  const GArray *members = fleet_service (fleet)->members;
  guint i;

  place_init (place);
  for (i = 0; i < members->len; i++)
    {
      place_add_member (place, &fleet->view,
                        g_array_index (members, struct handle, i));
      place_sort_in (place, i);
    }
}

/* Successors stand on other hosts, each in a zone of its own.  */
static void
test_successors_spread (void)
{
  static const guint32 zones[] = { 0, 0, 1, 1, 1, 2 };
  struct record_slice item = { 0 };
  struct fleet fleet;
  struct placement place;
  guint32 first;
  guint32 second;
  guint i;

  fleet_init (&fleet, 8);
  for (i = 0; i < G_N_ELEMENTS (zones); i++)
    fleet_join (&fleet, zones[i], 20);
  take_members (&place, &fleet);
  place_choose_successors (&place, 0, &item);
  first = place_find_row (&place,
                          view_find_node (&fleet.view, item.successors[0]));
  second = place_find_row (&place,
                           view_find_node (&fleet.view, item.successors[1]));
  CU_ASSERT_NOT_EQUAL_FATAL (first, PLACE_NONE);
  CU_ASSERT_NOT_EQUAL_FATAL (second, PLACE_NONE);
  CU_ASSERT_NOT_EQUAL (place_member_at (&place, first)->zone_row, 0);
  CU_ASSERT_NOT_EQUAL (place_member_at (&place, second)->zone_row, 0);
  CU_ASSERT_NOT_EQUAL (place_member_at (&place, first)->zone_row,
                       place_member_at (&place, second)->zone_row);
  CU_ASSERT_EQUAL (place_zone_spread (&place), 3);
  place_clear (&place);
  fleet_clear (&fleet);
}

/* With one zone the successors still stand on other hosts.  */
static void
test_one_zone (void)
{
  struct record_slice item = { 0 };
  struct fleet fleet;
  struct placement place;

  fleet_init (&fleet, 8);
  fleet_join (&fleet, 0, 20);
  fleet_join (&fleet, 0, 20);
  take_members (&place, &fleet);
  place_choose_successors (&place, 0, &item);
  CU_ASSERT_EQUAL (item.successors[0], 2);
  CU_ASSERT_EQUAL (item.successors[1], 0);
  place_clear (&place);
  fleet_clear (&fleet);
}

/* The least loaded is so for its slots, and the order follows changes.  */
static void
test_least (void)
{
  struct fleet fleet;
  struct placement place;

  fleet_init (&fleet, 8);
  fleet_join (&fleet, 0, 10);
  fleet_join (&fleet, 1, 20);
  take_members (&place, &fleet);
  place_add_load (&place, 0, 2);
  place_add_load (&place, 1, 3);
  CU_ASSERT_EQUAL (place_least_loaded (&place), 1);
  CU_ASSERT_EQUAL (place_most_loaded (&place), 0);
  place_add_load (&place, 1, 3);
  CU_ASSERT_EQUAL (place_least_loaded (&place), 0);
  place_exclude (&place, 0);
  CU_ASSERT_EQUAL (place_least_loaded (&place), 1);
  place_clear (&place);
  fleet_clear (&fleet);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "successors spread", test_successors_spread },
          { "one zone", test_one_zone },
          { "least loaded", test_least },
          CU_TEST_INFO_NULL };

  return suite_run ("place", tests);
}

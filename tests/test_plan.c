#include "standins/fleet.h"
#include "decide/core.h"
#include "decide/timing.h"
#include "tests/suite.h"

#include <string.h>

#define NOW ((gint64)1000000)
#define ROUNDS 32u

/* Initialise a fleet of COUNT nodes in three zones and assign all its
   slices.  */
static void
start (struct fleet *fleet, struct planner *planner, guint32 slices,
       guint32 count)
{
  guint i;

  fleet_init (fleet, slices);
  planner_init (planner);
  for (i = 0; i < count; i++)
    fleet_join (fleet, i % 3, 20);
  fleet_plan (fleet, planner, NOW, ROUNDS);
}

/* Free the memory of FLEET and PLANNER.  */
static void
stop (struct fleet *fleet, struct planner *planner)
{
  planner_clear (planner);
  fleet_clear (fleet);
}

/* Slices are assigned evenly, and then nothing is left to plan.  */
static void
test_assign (void)
{
  struct planner planner;
  struct fleet fleet;

  start (&fleet, &planner, 96, 3);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 1), 32);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 2), 32);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 3), 32);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, ROUNDS), 0);
  stop (&fleet, &planner);
}

/* All slices of a leaving node move away in one plan, and no others move.  */
static void
test_leave (void)
{
  struct planner planner;
  struct fleet fleet;

  start (&fleet, &planner, 96, 4);
  fleet_leave (&fleet, 2);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, 1), 24);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 2), 0);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 1), 32);
  stop (&fleet, &planner);
}

/* A node that joins gets its share of the slices, and no other slices
   move.  */
static void
test_join (void)
{
  struct planner planner;
  struct fleet fleet;
  guint32 moved;

  start (&fleet, &planner, 96, 3);
  fleet_join (&fleet, 0, 20);
  moved = fleet_plan (&fleet, &planner, NOW, ROUNDS);
  CU_ASSERT_EQUAL (moved, fleet_owned_count (&fleet, 4));
  CU_ASSERT_TRUE (moved >= 22 && moved <= 24);
  stop (&fleet, &planner);
}

/* A member with twice the slots gets twice the slices.  */
static void
test_weight (void)
{
  struct planner planner;
  struct fleet fleet;

  fleet_init (&fleet, 90);
  planner_init (&planner);
  fleet_join (&fleet, 0, 10);
  fleet_join (&fleet, 1, 20);
  fleet_plan (&fleet, &planner, NOW, ROUNDS);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 1), 30);
  CU_ASSERT_EQUAL (fleet_owned_count (&fleet, 2), 60);
  stop (&fleet, &planner);
}

/* After the removal of a node, slices get new successors that are live and in
   other zones than the owner.  */
static void
test_successor_lost (void)
{
  struct planner planner;
  struct fleet fleet;
  const struct view_service *service;
  guint i;
  guint k;

  start (&fleet, &planner, 96, 9);
  fleet_remove (&fleet, 5);
  fleet_plan (&fleet, &planner, NOW, ROUNDS);
  service = fleet_service (&fleet);
  for (i = 0; i < service->slices->len; i++)
    for (k = 0; k < SUCCESSOR_MAX; k++)
      {
        const struct view_slice *slice = view_slice_at (service, i);
        const struct view_node *owner
            = view_node_at (&fleet.view, slice->owner);
        const struct view_node *next
            = view_node_at (&fleet.view, slice->successors[k]);
        CU_ASSERT_TRUE_FATAL (owner != NULL && next != NULL);
        if (owner != NULL && next != NULL)
          CU_ASSERT_STRING_NOT_EQUAL (owner->join.zone, next->join.zone);
      }
  stop (&fleet, &planner);
}

/* Slices of a replaced node stay unchanged, even if one of their successors is
   removed: the node cannot release them, and a pending move would keep their
   successors from taking over.  */
static void
test_replaced_owner_keeps_slices (void)
{
  const struct view_service *service;
  struct planner planner;
  struct fleet fleet;
  guint64 next;
  guint unchanged = 0;
  guint i;

  start (&fleet, &planner, 96, 4);
  view_node_at (&fleet.view, view_find_node (&fleet.view, 2))->state
      = NODE_REPLACED;
  fleet_remove (&fleet, 3);
  next = fleet.view.applied_offset;
  fleet_plan (&fleet, &planner, NOW, ROUNDS);
  service = fleet_service (&fleet);
  for (i = 0; i < service->slices->len; i++)
    {
      const struct view_slice *slice = view_slice_at (service, i);
      if (view_incarnation (&fleet.view, slice->owner) == 2
          && slice->epoch < next)
        unchanged++;
    }
  CU_ASSERT_TRUE (unchanged >= 24);
  CU_ASSERT_EQUAL (unchanged, fleet_owned_count (&fleet, 2));
  stop (&fleet, &planner);
}

/* Set the weight of the slices that NODE owns to OWN, and of all others to
   OTHER.  */
static void
set_weights (struct fleet *fleet, struct planner *planner, guint64 node,
             gdouble own, gdouble other)
{
  const struct view_service *service = fleet_service (fleet);
  guint32 i;

  g_array_set_size (planner->slice_weights, service->slices->len);
  for (i = 0; i < service->slices->len; i++)
    g_array_index (planner->slice_weights, gdouble, i)
        = view_incarnation (&fleet->view, view_slice_at (service, i)->owner)
                  == node
              ? own
              : other;
}

/* A slice that was moved for balance is not moved again during its cooldown,
   however the weights change, and may move after it.  */
static void
test_cooldown (void)
{
  struct planner planner;
  struct fleet fleet;
  guint32 i;

  start (&fleet, &planner, 8, 2);
  set_weights (&fleet, &planner, 1, 2, 0.01);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, ROUNDS), 2);
  for (i = 0; i < 8; i++)
    g_array_index (planner.slice_weights, gdouble, i)
        = planner_in_cooldown (&planner, i, NOW) ? 1 : 0;
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW + 1, ROUNDS), 0);
  CU_ASSERT_EQUAL (
      fleet_plan (&fleet, &planner, NOW + BALANCE_COOLDOWN_USEC, ROUNDS), 1);
  stop (&fleet, &planner);
}

/* Set the weight of the first slice of NODE from number FROM on.  Return the
   number after it.  */
static guint32
set_next_weight (struct fleet *fleet, struct planner *planner, guint64 node,
                 guint32 from, gdouble weight)
{
  const struct view_service *service = fleet_service (fleet);

  while (view_incarnation (&fleet->view, view_slice_at (service, from)->owner)
         != node)
    from++;
  g_array_index (planner->slice_weights, gdouble, from) = weight;
  return from + 1;
}

/* A gap of 1 in 31 between two nodes is below the threshold, although a move
   would close it; a gap of 3 is above.  */
static void
test_threshold (void)
{
  struct planner planner;
  struct fleet fleet;
  guint32 next;
  guint i;

  start (&fleet, &planner, 64, 2);
  g_array_set_size (planner.slice_weights, 64);
  for (i = 0; i < 64; i++)
    g_array_index (planner.slice_weights, gdouble, i) = 1;
  set_next_weight (&fleet, &planner, 1, 0, 0.5);
  next = set_next_weight (&fleet, &planner, 2, 0, 0.5);
  next = set_next_weight (&fleet, &planner, 2, next, 0.01);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, ROUNDS), 0);
  next = set_next_weight (&fleet, &planner, 2, next, 0.01);
  set_next_weight (&fleet, &planner, 2, next, 0.01);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, ROUNDS), 1);
  stop (&fleet, &planner);
}

/* A move that another planner proposed starts the cooldown of its slices here
   too.  */
static void
test_cooldown_of_others (void)
{
  struct record_slice items[2] = { { .slice = 0 }, { .slice = 1 } };
  struct record record = { .kind = RECORD_MOVE };
  struct planner planner;
  struct fleet fleet;
  const struct view_service *service;

  start (&fleet, &planner, 96, 3);
  service = fleet_service (&fleet);
  g_strlcpy (record.body.slices.service, FLEET_SERVICE, NAME_SIZE);
  record.body.slices.count = 2;
  record.body.slices.items = items;
  items[0].owner
      = view_incarnation (&fleet.view, view_slice_at (service, 0)->owner);
  items[1].owner
      = 1 + view_incarnation (&fleet.view, view_slice_at (service, 1)->owner);
  planner_on_record (&planner, &fleet.view, service, &record, NOW);
  CU_ASSERT_FALSE (planner_in_cooldown (&planner, 0, NOW));
  CU_ASSERT_TRUE (planner_in_cooldown (&planner, 1, NOW));
  stop (&fleet, &planner);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "assign", test_assign },
          { "leave", test_leave },
          { "join", test_join },
          { "weight", test_weight },
          { "successor lost", test_successor_lost },
          { "replaced owner keeps slices", test_replaced_owner_keeps_slices },
          { "cooldown", test_cooldown },
          { "threshold", test_threshold },
          { "cooldown of others", test_cooldown_of_others },
          CU_TEST_INFO_NULL };

  return suite_run ("plan", tests);
}

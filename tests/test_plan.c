#include "standins/fleet.h"
#include "decide/core.h"
#include "decide/timing.h"
#include "tests/suite.h"

#include <string.h>

#define NOW ((gint64)1000000)
#define ROUNDS 32u

/* A fleet of COUNT nodes over three zones, with all slices assigned.  */
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

/* Release both.  */
static void
stop (struct fleet *fleet, struct planner *planner)
{
  planner_clear (planner);
  fleet_clear (fleet);
}

/* Slices are assigned evenly, and then there is nothing left to plan.  */
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

/* A node that leaves loses every slice in one plan, and no other moves.  */
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

/* A node that joins is given its share and nothing else moves.  */
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

/* Twice the slots, twice the slices.  */
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

/* After a loss the successors are named anew: live and in other zones.  */
static void
test_loss (void)
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

/* The slices of a retired node stay as they are, even where a successor is
   out: it can release none, and a move would keep its successors from taking
   them.  */
static void
test_retired_stays (void)
{
  const struct view_service *service;
  struct planner planner;
  struct fleet fleet;
  guint64 next;
  guint kept = 0;
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
        kept++;
    }
  CU_ASSERT_TRUE (kept >= 24);
  CU_ASSERT_EQUAL (kept, fleet_owned_count (&fleet, 2));
  stop (&fleet, &planner);
}

/* Give the slices that NODE owns the weight OWN, and all others OTHER.  */
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

/* A slice moved for balance stays while it rests, however the weights turn,
   and may move again afterwards.  */
static void
test_rest (void)
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

/* Set the weight of one more slice of NODE, from FROM on; return the next.  */
static guint32
weigh_one (struct fleet *fleet, struct planner *planner, guint64 node,
           guint32 from, gdouble weight)
{
  const struct view_service *service = fleet_service (fleet);

  while (view_incarnation (&fleet->view, view_slice_at (service, from)->owner)
         != node)
    from++;
  g_array_index (planner->slice_weights, gdouble, from) = weight;
  return from + 1;
}

/* A gap of 1 in 31 between two nodes is left alone although a move would
   close it; a gap of 3 is not.  */
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
  weigh_one (&fleet, &planner, 1, 0, 0.5);
  next = weigh_one (&fleet, &planner, 2, 0, 0.5);
  next = weigh_one (&fleet, &planner, 2, next, 0.01);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, ROUNDS), 0);
  next = weigh_one (&fleet, &planner, 2, next, 0.01);
  weigh_one (&fleet, &planner, 2, next, 0.01);
  CU_ASSERT_EQUAL (fleet_plan (&fleet, &planner, NOW, ROUNDS), 1);
  stop (&fleet, &planner);
}

/* The slices that a folded move takes to another node rest here too.  */
static void
test_rest_of_others (void)
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
  static CU_TestInfo tests[] = { { "assign", test_assign },
                                 { "leave", test_leave },
                                 { "join", test_join },
                                 { "weight", test_weight },
                                 { "loss", test_loss },
                                 { "retired stays", test_retired_stays },
                                 { "rest", test_rest },
                                 { "threshold", test_threshold },
                                 { "rest of others", test_rest_of_others },
                                 CU_TEST_INFO_NULL };

  return suite_run ("plan", tests);
}

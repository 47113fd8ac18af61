#include "decide/core.h"
#include "decide/pick.h"
#include "decide/route.h"
#include "standins/fleet.h"
#include "tests/request_fixture.h"
#include "tests/suite.h"

#include <string.h>

#define NOW ((gint64)100000000)
#define MSEC(n) ((gint64)(n)*USEC_PER_MSEC)
#define PICKS 200u

/* A core in zone-0 that serves another service, and a service that is not
   divided: nodes 1 and 2 in zone-0, 3 and 4 in zone-1.  */
static void
start (struct core *core)
{
  struct core_settings settings = { .zone = "zone-0", .service = "other" };
  struct fleet fleet;
  guint i;

  fleet_init (&fleet, 8);
  for (i = 0; i < 4; i++)
    fleet_join (&fleet, i / 2, 20);
  core_init (core, &settings);
  view_clear (&core->view);
  core->view = fleet.view;
  view_init (&fleet.view);
  fleet_clear (&fleet);
  view_find_service (&core->view, FLEET_SERVICE)->config.sharded = FALSE;
}

/* Have node INCARNATION look as if its requests took TOOK usec as measured at
   MEASURED, with IN_FLIGHT there now.  */
static void
set_load (struct core *core, guint64 incarnation, gint64 took, gint64 measured,
          guint32 in_flight)
{
  struct peer_load *load
      = table_mirror (&core->loads, view_find_node (&core->view, incarnation));

  load->mean_usec = took;
  load->measured_at = measured;
  load->in_flight = in_flight;
}

/* Pick PICKS times; PICKED counts by incarnation, 0 for none.  */
static void
pick_many (struct core *core, guint *picked)
{
  const struct view_service *service
      = view_find_service (&core->view, FLEET_SERVICE);
  struct request request = { .run_class = RUN_IDEMPOTENT };
  struct pick_history never = { .owner_unreachable = FALSE };
  guint i;

  memset (picked, 0, 5 * sizeof *picked);
  for (i = 0; i < PICKS; i++)
    {
      struct pick pick = pick_member (core, service, &request, &never, NOW);
      picked[view_incarnation (&core->view, pick.node)]++;
    }
}

/* While nothing is known, the same zone is picked, and all of it.  */
static void
test_zone_first (void)
{
  struct core core;
  guint picked[5];

  start (&core);
  pick_many (&core, picked);
  CU_ASSERT_EQUAL (picked[1] + picked[2], PICKS);
  CU_ASSERT_TRUE (picked[1] > PICKS / 4);
  CU_ASSERT_TRUE (picked[2] > PICKS / 4);
  core_clear (&core);
}

/* Another zone is picked only where the time saved outweighs the link.  */
static void
test_spill (void)
{
  struct core core;
  guint picked[5];

  start (&core);
  set_load (&core, 1, MSEC (8), NOW, 0);
  set_load (&core, 2, MSEC (8), NOW, 0);
  pick_many (&core, picked);
  CU_ASSERT_EQUAL (picked[1] + picked[2], PICKS);
  set_load (&core, 1, MSEC (100), NOW, 0);
  set_load (&core, 2, MSEC (100), NOW, 0);
  pick_many (&core, picked);
  CU_ASSERT_TRUE (picked[3] + picked[4] > PICKS * 9 / 10);
  core_clear (&core);
}

/* What was measured long ago counts for nothing.  */
static void
test_age (void)
{
  struct core core;
  guint picked[5];

  start (&core);
  set_load (&core, 1, MSEC (100), NOW - MSEC (5000), 0);
  set_load (&core, 2, MSEC (100), NOW - MSEC (5000), 0);
  pick_many (&core, picked);
  CU_ASSERT_EQUAL (picked[1] + picked[2], PICKS);
  core_clear (&core);
}

/* Of two in the zone, the one with less in flight is picked.  */
static void
test_in_flight (void)
{
  struct core core;
  guint picked[5];

  start (&core);
  set_load (&core, 1, MSEC (2), NOW, 40);
  set_load (&core, 2, MSEC (2), NOW, 1);
  pick_many (&core, picked);
  CU_ASSERT_TRUE (picked[2] > PICKS / 2);
  CU_ASSERT_EQUAL (picked[3] + picked[4], 0);
  core_clear (&core);
}

/* A node that leaves is never picked.  */
static void
test_leaving (void)
{
  struct core core;
  guint picked[5];

  start (&core);
  view_node_at (&core.view, view_find_node (&core.view, 1))->state
      = NODE_LEAVING;
  pick_many (&core, picked);
  CU_ASSERT_EQUAL (picked[1], 0);
  CU_ASSERT_EQUAL (picked[2], PICKS);
  core_clear (&core);
}

/* Times are smoothed, and a request that goes away tells none.  */
static void
test_load (void)
{
  struct peer_load load = { 0 };

  peer_load_on_sent (&load);
  peer_load_on_sent (&load);
  peer_load_on_sent (&load);
  CU_ASSERT_EQUAL (peer_load_estimate_usec (&load, 3, 1, NOW), 0);
  peer_load_on_ended (&load, NOW - 800, NOW);
  CU_ASSERT_EQUAL (load.mean_usec, 800);
  peer_load_on_ended (&load, NOW - 1600, NOW);
  CU_ASSERT_EQUAL (load.mean_usec, 900);
  peer_load_on_cancelled (&load);
  CU_ASSERT_EQUAL (load.mean_usec, 900);
  CU_ASSERT_EQUAL (load.in_flight, 0);
  CU_ASSERT_EQUAL (peer_load_estimate_usec (&load, 20, 20, NOW), 1800);
  CU_ASSERT_EQUAL (peer_load_estimate_usec (&load, 20, 20, NOW + MSEC (500)),
                   900);
}

/* All requests that the core of F has at other nodes.  */
static guint32
count_in_flight (const struct fixture *f)
{
  struct handle h = table_next (&f->core.loads, HANDLE_NONE);
  guint32 count = 0;

  for (; handle_is_set (h); h = table_next (&f->core.loads, h))
    count += ((struct peer_load *)table_get (&f->core.loads, h))->in_flight;
  return count;
}

/* Routing counts what it sends, and takes in its end or its going away.  */
static void
test_counted (void)
{
  struct request request = fixture_request ("pay", "", "a");
  struct handle first;
  struct handle second;
  struct fixture f;

  fixture_begin (&f, "desk");
  first = fixture_arrive (&f, &request, FIXTURE_START);
  second = fixture_arrive (&f, &request, FIXTURE_START);
  CU_ASSERT_EQUAL (count_in_flight (&f), 2);
  fixture_ended (&f, first, OUTCOME_DONE, REASON_NONE, FIXTURE_START + 1);
  CU_ASSERT_EQUAL (count_in_flight (&f), 1);
  route_on_disconnected (&f.core, second, FIXTURE_START + 2, &f.out);
  CU_ASSERT_EQUAL (count_in_flight (&f), 0);
  fixture_end (&f);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "zone first", test_zone_first },
                                 { "spill", test_spill },
                                 { "age", test_age },
                                 { "in flight", test_in_flight },
                                 { "leaving", test_leaving },
                                 { "load", test_load },
                                 { "counted", test_counted },
                                 CU_TEST_INFO_NULL };

  return suite_run ("pick", tests);
}

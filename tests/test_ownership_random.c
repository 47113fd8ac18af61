#include "tests/fleet.h"
#include "tests/suite.h"

#include <stdio.h>
#include <stdlib.h>

/* Random failures over a few cores, from seeds that are printed.  No slice may
   ever be served by two nodes, and once all failures are over each slice is
   served again.  SEED in the environment runs that one alone.  */

#define SEEDS 40                       /* runs */
#define FAULTS 60                      /* failures in a run */
#define BETWEEN_USEC 400000            /* most time between two failures */
#define HEALED_USEC ((gint64)20000000) /* for all to be served again */
#define DELAY_USEC ((gint64)900000)    /* longest delay of a call */
#define NODES 7

static struct fleet fleet; /* the nodes under test */

/* A random number below LIMIT.  */
static int
below (int limit)
{
  return g_rand_int_range (fleet.random, 0, limit);
}

/* Append a move of a random slice to a random node, as node I sees it.  */
static void
move_any (int i)
{
  const struct core *core = &fleet.cores[i];
  const struct view_service *service
      = view_find_service (&core->view, MAKE_SERVICE);
  guint32 number = (guint32)below (MAKE_SLICES);
  const struct view_slice *slice
      = service != NULL ? view_slice_at (service, number) : NULL;
  guint64 to = fleet.cores[below (NODES)].settings.incarnation;

  if (slice == NULL)
    return;
  if (below (3) == 0)
    to = view_incarnation (&core->view, slice->owner);
  fleet_append (&fleet,
                make_slice (RECORD_MOVE, number, slice->epoch, to,
                            fleet.cores[below (NODES)].settings.incarnation,
                            fleet.cores[below (NODES)].settings.incarnation));
}

/* Let node I fail, or end its failure.  */
static void
fault_at (int i)
{
  int k = below (NODES);

  switch (below (10))
    {
    case 0:
    case 1:
      fleet.up[i] = !fleet.up[i];
      break;
    case 2:
      fleet_restart (&fleet, i);
      break;
    case 3:
      fleet.is_lagging[i] = !fleet.is_lagging[i];
      break;
    case 4:
      fleet.cut[i][k] = !fleet.cut[i][k];
      break;
    case 5:
      fleet_isolate (&fleet, i, below (2));
      break;
    case 6:
      fleet.log_down = !fleet.log_down;
      break;
    case 7:
      fleet.delay_max_usec = below (2) * DELAY_USEC;
      break;
    default:
      move_any (i);
      break;
    }
}

/* End all failures; a process that wanted to end is started again.  */
static void
heal (void)
{
  gint64 end = fleet.now + HEALED_USEC;
  int i;

  memset (fleet.cut, 0, sizeof fleet.cut);
  memset (fleet.is_lagging, 0, sizeof fleet.is_lagging);
  fleet.log_down = FALSE;
  fleet.delay_max_usec = 0;
  for (i = 0; i < NODES; i++)
    fleet.up[i] = TRUE;
  while (fleet.now < end)
    {
      fleet_run (&fleet, 500000);
      for (i = 0; i < NODES; i++)
        if (fleet.exit_requested[i])
          fleet_restart (&fleet, i);
    }
}

/* Run the failures of SEED.  */
static void
run_seed (guint32 seed)
{
  guint32 slice;
  int i;

  fleet_init (&fleet, NODES, TRUE);
  fleet.refused_kind = 0;
  fleet.random = g_rand_new_with_seed (seed);
  for (i = 0; i < FAULTS; i++)
    {
      fault_at (below (NODES));
      fleet_run (&fleet, below (BETWEEN_USEC));
    }
  heal ();
  CU_ASSERT_EQUAL (fleet.two_owners, 0);
  if (fleet.two_owners > 0)
    printf ("seed %u: two owners %u times\n", seed, fleet.two_owners);
  for (slice = 0; slice < MAKE_SLICES; slice++)
    {
      int server = fleet_server (&fleet, slice);
      CU_ASSERT_TRUE (server >= 0);
      if (server < 0)
        printf ("seed %u: slice %u is not served\n", seed, slice);
    }
  g_rand_free (fleet.random);
  fleet_clear (&fleet);
}

/* Run all seeds, or the one that is asked for.  */
static void
test_random (void)
{
  const char *only = getenv ("SEED");
  guint32 seed;

  if (only != NULL)
    {
      run_seed ((guint32)atoi (only));
      return;
    }
  printf ("seeds 1 to %d\n", SEEDS);
  for (seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "random failures", test_random }, CU_TEST_INFO_NULL };

  return suite_run ("own_random", tests);
}

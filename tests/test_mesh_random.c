#include "mesh/mesh_parts.h"
#include "tests/mesh_sim.h"

#define SEEDS 24u                       /* worlds in a run */
#define TROUBLE_USEC ((gint64)40000000) /* trouble comes for so long */
#define CALM_USEC ((gint64)20000000)    /* then all heals */
#define TROUBLE_EVERY_STEPS 150         /* on average */

#define OFFER_EVERY_STEPS 60 /* on average */

/* Have node I offer some of its keys, if it has them, to another one.  */
static void
offer (struct world *world, guint i)
{
  struct world_node *node = &world->node[i];
  guint32 first
      = (guint32)g_rand_int_range (world->random, 0, (gint32)SHARD_KEY_COUNT);
  guint32 last = MIN (
      first
          + (guint32)g_rand_int_range (world->random, 0, SHARD_KEY_COUNT / 8),
      SHARD_KEY_COUNT - 1);
  char next[NAME_SIZE];

  g_snprintf (next, sizeof next, "node-%d",
              g_rand_int_range (world->random, 0, WORLD_NODES));
  if (node->up)
    mesh_handoff_add (&node->mesh, first, last, next, world->now);
}

/* Bring one trouble on node I.  */
static void
trouble (struct world *world, guint i)
{
  struct world_node *node = &world->node[i];

  switch (g_rand_int_range (world->random, 0, 8))
    {
    case 0:
      kill_node (world, i);
      node->up_at = world->now + draw_msec (world, 300, 9000);
      break;
    case 1:
      node->frozen_until = world->now + draw_msec (world, 500, 9000);
      break;
    case 2:
      node->cut = TRUE;
      node->well_at = world->now + draw_msec (world, 1000, 9000);
      break;
    case 3:
      node->off_store = TRUE;
      node->well_at = world->now + draw_msec (world, 1000, 9000);
      break;
    case 4:
      node->cut = node->off_store = TRUE;
      node->well_at = world->now + draw_msec (world, 1000, 12000);
      break;
    case 5:
      node->server.up = FALSE;
      node->server.beat_at = world->now + draw_msec (world, 100, 6000);
      break;
    case 6:
      node->server.beat_at = world->now + draw_msec (world, 900, 5000);
      break;
    default:
      world->store_at = world->now + draw_msec (world, 1000, 9000);
      break;
    }
}

/* Run the world of SEED: trouble for a while, then calm.  Never do two servers
   hold a key, fences rise, and in the end all keys are held.  */
static void
run_seed (guint32 seed)
{
  struct world *world = world_new (seed);
  gint64 start = world->now;

  while (world->now < start + TROUBLE_USEC + CALM_USEC)
    {
      step_world (world);
      if (world->now < start + TROUBLE_USEC
          && g_rand_int_range (world->random, 0, OFFER_EVERY_STEPS) == 0)
        offer (world, (guint)g_rand_int_range (world->random, 0, WORLD_NODES));
      if (world->now < start + TROUBLE_USEC
          && g_rand_int_range (world->random, 0, TROUBLE_EVERY_STEPS) == 0)
        trouble (world,
                 (guint)g_rand_int_range (world->random, 0, WORLD_NODES));
    }
  if (world->doubles + world->falls > 0
      || held_keys (world) != SHARD_KEY_COUNT)
    g_printerr ("seed %u: two holders %u, fences %u, held %u\n", seed,
                world->doubles, world->falls, held_keys (world));
  CU_ASSERT_EQUAL (world->doubles, 0);
  CU_ASSERT_EQUAL (world->falls, 0);
  CU_ASSERT_EQUAL (held_keys (world), SHARD_KEY_COUNT);
  world_free (world);
}

/* Many worlds, each with its own trouble.  */
static void
test_seeds (void)
{
  const char *one = g_getenv ("MESH_SEED");
  guint32 seed;

  if (one != NULL)
    {
      run_seed ((guint32)g_ascii_strtoull (one, NULL, 10));
      return;
    }
  for (seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "seeds of trouble", test_seeds }, CU_TEST_INFO_NULL };

  return suite_run ("mesh_random", tests);
}

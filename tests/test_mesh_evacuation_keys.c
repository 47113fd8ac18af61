#define SIM_NODES 12u
#define SIM_ZONES 3u

#include "mesh/mesh_parts.h"
#include "tests/mesh_sim.h"

/* The keys of an evacuated data centre: how soon servers elsewhere hold them,
   and how many each of them gets.  */

#define MSEC ((gint64)1000)
#define SEEDS 3u
#define START_USEC (2000 * MSEC)
#define SETTLE_USEC (13000 * MSEC)
#define MOVED_USEC (4500 * MSEC) /* keys are held elsewhere by then */
#define STAYING_NODES (SIM_NODES - SIM_NODES / SIM_ZONES)
#define LEAVING 0u /* data centre that is evacuated */

/* Keys that a server may get beyond its share, by rounding.  */
#define ROUNDING_KEYS (SHARD_KEY_COUNT / 500)

/* What was seen since the evacuation.  */
struct observation
{
  gint64 last_out; /* last time at which a server there held a key */
  gint64 last_in;  /* last time at which servers elsewhere lacked a key */
  guint most_keys; /* most keys that one of these held */
};

/* Return how many keys the server of node I holds now.  */
static guint
keys_of (const struct sim *sim, guint i)
{
  const struct sim_server *server = &sim->nodes[i].server;
  guint keys = 0;
  guint k;

  if (sim->method == GRANT_BY_CALL)
    {
      for (k = 0; k < SHARD_KEY_COUNT; k++)
        keys += server->is_up && server->holds[k].until > sim->now
                && grant_covers_key (&sim->nodes[i].mesh.grant, k, sim->now);
      return keys;
    }
  for (k = 0; server->is_up && sim->now < server->held_until
              && k < server->held_count;
       k++)
    keys += server->held_ranges[k].last - server->held_ranges[k].first + 1;
  return keys;
}

/* Return how many keys the servers of data centre ZONE hold now.  */
static guint
keys_in (const struct sim *sim, guint zone)
{
  guint keys = 0;
  guint i;

  for (i = 0; i < SIM_NODES; i++)
    if (sim_zone_of (i) == zone)
      keys += keys_of (sim, i);
  return keys;
}

/* Note in OBSERVATION who holds keys now.  */
static void
observe (const struct sim *sim, struct observation *observation)
{
  guint held = 0;
  guint i;

  for (i = 0; i < SIM_NODES; i++)
    {
      guint keys = keys_of (sim, i);
      if (sim_zone_of (i) != LEAVING)
        {
          held += keys;
          observation->most_keys = MAX (observation->most_keys, keys);
        }
      else if (keys > 0)
        observation->last_out = sim->now;
    }
  if (held < SHARD_KEY_COUNT)
    observation->last_in = sim->now;
}

/* Let USEC pass, and note in OBSERVATION, unless it is NULL, what is seen.  */
static void
run (struct sim *sim, gint64 usec, struct observation *observation)
{
  gint64 until = sim->now + usec;

  while (sim->now < until)
    {
      sim_step (sim);
      if (observation != NULL)
        observe (sim, observation);
    }
}

/* Return a fleet whose keys are dealt out, by SEED and METHOD.  The heartbeats
   of its servers are spread over the interval.  */
static struct sim *
start (guint32 seed, enum grant_method method)
{
  struct sim *sim = sim_new_with (seed, method, TRUE);
  guint i;

  sim->calm_at = sim->now;
  run (sim, START_USEC, NULL);
  for (i = 0; i < SIM_NODES; i++)
    sim->nodes[i].server.next_heartbeat_at
        += i * 7 % SIM_NODES * HEARTBEAT_USEC / SIM_NODES;
  run (sim, SETTLE_USEC, NULL);
  return sim;
}

/* Check that no key had two holders or a fence that did not rise, and that no
   evacuated server was served beyond the bound.  Free SIM.  */
static void
finish (struct sim *sim)
{
  CU_ASSERT_EQUAL (sim->two_holder_count, 0);
  CU_ASSERT_EQUAL (sim->fence_error_count, 0);
  CU_ASSERT_EQUAL (sim->evacuated_run_count, 0);
  sim_free (sim);
}

/* Guards against keys that stay or move late, and against a server that gets
   more than its share because many owners give up keys at once.  */
static void
check_move (guint32 seed, enum grant_method method)
{
  struct sim *sim = start (seed, method);
  gint64 acked_at = sim->now;
  struct observation seen = { acked_at, acked_at, 0 };

  sim_evacuate (sim, LEAVING, FALSE);
  run (sim, 8000 * MSEC, &seen);
  if (g_getenv ("EVACUATION_VERBOSE") != NULL)
    g_printerr ("method %d, seed %u: out %d ms, in %d ms, most %u\n", method,
                seed, (int)((seen.last_out - acked_at) / MSEC),
                (int)((seen.last_in - acked_at) / MSEC), seen.most_keys);
  CU_ASSERT_TRUE (seen.last_out - acked_at <= MOVED_USEC);
  CU_ASSERT_TRUE (seen.last_in - acked_at <= MOVED_USEC);
  CU_ASSERT_TRUE (seen.most_keys
                  <= SHARD_KEY_COUNT / STAYING_NODES + ROUNDING_KEYS);
  finish (sim);
}

/* Both ways of granting keys, with several seeds.  */
static void
test_move (void)
{
  guint32 seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      check_move (seed, GRANT_BY_ANSWER);
      check_move (seed, GRANT_BY_CALL);
    }
}

/* Guards against keys that do not come back to a data centre whose evacuation
   has ended.  */
static void
test_back (void)
{
  struct sim *sim = start (1, GRANT_BY_CALL);

  sim_evacuate (sim, LEAVING, FALSE);
  run (sim, 6000 * MSEC, NULL);
  CU_ASSERT_EQUAL (keys_in (sim, LEAVING), 0);
  sim_evacuate (sim, LEAVING, TRUE);
  run (sim, 25000 * MSEC, NULL);
  CU_ASSERT_TRUE (keys_in (sim, LEAVING) > SHARD_KEY_COUNT / 6);
  CU_ASSERT_EQUAL (held_keys (sim), SHARD_KEY_COUNT);
  finish (sim);
}

/* Guards against an owner that is served after the bound since the store did
   not take the maps: it falls silent as the evacuation is written.  */
static void
check_silent_store (enum grant_method method)
{
  struct sim *sim = start (1, method);

  sim_evacuate (sim, LEAVING, FALSE);
  sim->store_back_at = sim->now + 2500 * MSEC;
  run (sim, 15000 * MSEC, NULL);
  CU_ASSERT_EQUAL (keys_in (sim, LEAVING), 0);
  CU_ASSERT_EQUAL (held_keys (sim), SHARD_KEY_COUNT);
  finish (sim);
}

/* Both ways of granting keys.  */
static void
test_silent_store (void)
{
  check_silent_store (GRANT_BY_ANSWER);
  check_silent_store (GRANT_BY_CALL);
}

/* Guards against keys that are left without an owner by hosts that are lost in
   the meantime: an owner that leaves, and one that receives keys; and against
   a process there that starts again and takes its keys up.  */
static void
check_lost_hosts (enum grant_method method)
{
  struct sim *sim = start (2, method);
  guint i;

  sim_evacuate (sim, LEAVING, FALSE);
  run (sim, 300 * MSEC, NULL);
  for (i = 0; i < 2; i++)
    {
      kill_node (sim, i);
      sim->nodes[i].restart_at = G_MAXINT64;
      sim->nodes[i].server.is_up = FALSE;
      sim->nodes[i].server.next_heartbeat_at = G_MAXINT64;
    }
  kill_node (sim, SIM_ZONES);
  sim->nodes[SIM_ZONES].restart_at = sim->now + 600 * MSEC;
  run (sim, 15000 * MSEC, NULL);
  CU_ASSERT_EQUAL (keys_in (sim, LEAVING), 0);
  CU_ASSERT_EQUAL (held_keys (sim), SHARD_KEY_COUNT);
  finish (sim);
}

/* Both ways of granting keys.  */
static void
test_lost_hosts (void)
{
  check_lost_hosts (GRANT_BY_ANSWER);
  check_lost_hosts (GRANT_BY_CALL);
}

/* Guards against a server that gets all keys of an owner whose server starts
   again before its turn to release them.  */
static void
test_new_instance (void)
{
  struct sim *sim = start (1, GRANT_BY_CALL);
  struct observation seen = { 0 };

  sim_evacuate (sim, LEAVING, FALSE);
  run (sim, 200 * MSEC, &seen);
  start_server (sim, SIM_NODES - SIM_ZONES);
  run (sim, 8000 * MSEC, &seen);
  CU_ASSERT_TRUE (seen.most_keys
                  <= SHARD_KEY_COUNT / STAYING_NODES + ROUNDING_KEYS);
  CU_ASSERT_EQUAL (keys_in (sim, LEAVING), 0);
  finish (sim);
}

/* Guards against keys that are given up although no server may take them, and
   against requests for them that are served.  */
static void
test_all_evacuated (void)
{
  struct sim *sim = start (3, GRANT_BY_CALL);
  guint zone;

  for (zone = 0; zone < SIM_ZONES; zone++)
    sim_evacuate (sim, zone, FALSE);
  run (sim, 8000 * MSEC, NULL);
  CU_ASSERT_EQUAL (held_keys (sim), SHARD_KEY_COUNT);
  sim_evacuate (sim, 1, TRUE);
  run (sim, 8000 * MSEC, NULL);
  CU_ASSERT_EQUAL (keys_in (sim, LEAVING), 0);
  CU_ASSERT_EQUAL (held_keys (sim), SHARD_KEY_COUNT);
  finish (sim);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "move", test_move },
                                 { "back in service", test_back },
                                 { "silent store", test_silent_store },
                                 { "lost hosts", test_lost_hosts },
                                 { "new instance", test_new_instance },
                                 { "all evacuated", test_all_evacuated },
                                 CU_TEST_INFO_NULL };

  return suite_run ("mesh_evacuation_keys", tests);
}

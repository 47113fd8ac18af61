#include "bench/scale.h"
#include "mesh/mesh_parts.h"
#include "tests/mesh_sim.h"

/* How long a key has no holder after a move, after the loss of a server and
   after the loss of a host, by both ways of granting keys.  Four simulated
   nodes; the times are those of the simulation, not of a machine.  */

#define SEEDS 20u
#define KEY 1500u         /* key that is watched */
#define MOVED_FIRST 1000u /* range that is moved */
#define MOVED_LAST 1999u
#define SETTLE_STEPS 2000u            /* before the event, 20 s */
#define WATCH_STEPS 3000u             /* after it, 30 s */
#define GONE_USEC ((gint64)100000000) /* a lost server or host stays away */

/* What happens to the holder of the key.  */
enum bench_event
{
  BENCH_MOVE,
  BENCH_LOSE_SERVER,
  BENCH_LOSE_HOST,
  BENCH_EVENTS
};

static const char *const event_names[BENCH_EVENTS]
    = { "move", "lost server", "lost host" };
static const char *const method_names[] = { "by answers", "by calls" };

/* Return the node that sends requests for KEY to its server, SIM_NODES if none
   does.  */
static guint
holder (const struct sim *sim)
{
  guint i;

  for (i = 0; i < SIM_NODES; i++)
    if (sim->nodes[i].is_up && sim->nodes[i].server.is_up
        && grant_covers_key (&sim->nodes[i].mesh.grant, KEY, sim->now))
      return i;
  return SIM_NODES;
}

/* Let EVENT happen to node I.  */
static void
happen (struct sim *sim, enum bench_event event, guint i)
{
  struct sim_node *node = &sim->nodes[i];
  char next[NAME_SIZE];

  switch (event)
    {
    case BENCH_MOVE:
      g_snprintf (next, sizeof next, "node-%u", (i + 1) % SIM_NODES);
      mesh_handoff_add (&node->mesh, MOVED_FIRST, MOVED_LAST, next, sim->now);
      break;
    case BENCH_LOSE_HOST:
      kill_node (sim, i);
      node->restart_at = sim->now + GONE_USEC;
      node->server.is_up = FALSE;
      node->server.next_heartbeat_at = sim->now + GONE_USEC;
      break;
    case BENCH_LOSE_SERVER:
      node->server.is_up = FALSE;
      node->server.next_heartbeat_at = sim->now + GONE_USEC;
      break;
    case BENCH_EVENTS:
      break;
    }
}

/* Return how long KEY has no holder after EVENT, in milliseconds, with SEED
   and METHOD.  */
static gint64
run (guint32 seed, enum grant_method method, enum bench_event event)
{
  struct sim *sim = sim_new (seed, method);
  gint64 unheld_usec = 0;
  guint step;

  for (step = 0; step < SETTLE_STEPS; step++)
    sim_step (sim);
  if (holder (sim) < SIM_NODES)
    happen (sim, event, holder (sim));
  for (step = 0; step < WATCH_STEPS; step++)
    {
      sim_step (sim);
      if (holder (sim) == SIM_NODES)
        unheld_usec += STEP_USEC;
    }
  sim_free (sim);
  return unheld_usec / USEC_PER_MSEC;
}

int
main (void)
{
  enum grant_method method;
  enum bench_event event;

  for (event = 0; event < BENCH_EVENTS; event++)
    for (method = GRANT_BY_ANSWER; method <= GRANT_BY_CALL; method++)
      {
        char label[NAME_SIZE];
        gint64 sum = 0;
        gint64 longest = 0;
        guint32 seed;
        for (seed = 1; seed <= SEEDS; seed++)
          {
            gint64 msec = run (seed, method, event);
            sum += msec;
            longest = MAX (longest, msec);
          }
        g_snprintf (label, sizeof label, "%s, %s, mean", event_names[event],
                    method_names[method]);
        scale_print (label, SIM_NODES, (gdouble)sum / SEEDS, "ms");
        g_snprintf (label, sizeof label, "%s, %s, longest", event_names[event],
                    method_names[method]);
        scale_print (label, SIM_NODES, (gdouble)longest, "ms");
      }
  return 0;
}

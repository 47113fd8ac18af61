#ifndef TESTS_MESH_SIM_FAILURES_H
#define TESTS_MESH_SIM_FAILURES_H

#include "mesh/mesh_parts.h"
#include "tests/mesh_sim.h"

/* Random failures of the nodes of a simulation, their servers and the store.
 */

/* Have node I plan the handoff of a random range to a random node.  */
static inline void
add_handoff (struct sim *sim, guint i)
{
  struct sim_node *node = &sim->nodes[i];
  guint32 first
      = (guint32)g_rand_int_range (sim->random, 0, (gint32)SHARD_KEY_COUNT);
  guint32 last = MIN (
      first + (guint32)g_rand_int_range (sim->random, 0, SHARD_KEY_COUNT / 8),
      SHARD_KEY_COUNT - 1);
  char next[NAME_SIZE];

  g_snprintf (next, sizeof next, "node-%d",
              g_rand_int_range (sim->random, 0, SIM_NODES));
  if (node->is_up)
    mesh_handoff_add (&node->mesh, first, last, next, sim->now);
}

/* Kill the process that made an append which is still to be carried out late,
   if there is one, and start it again at once.  */
static inline void
kill_late_writer (struct sim *sim)
{
  guint i;

  for (i = 0; i < sim->messages->len; i++)
    {
      const struct sim_message *message
          = &g_array_index (sim->messages, struct sim_message, i);
      struct sim_node *node = &sim->nodes[message->from];
      if (message->kind != SIM_APPEND || !message->is_late || !node->is_up
          || node->process_number != message->process_number)
        continue;
      kill_node (sim, message->from);
      node->restart_at = sim->now + draw_msec (sim, 50, 600);
      return;
    }
}

/* Inject one random failure at node I, or one of the store for all nodes.  */
static inline void
add_failure (struct sim *sim, guint i)
{
  struct sim_node *node = &sim->nodes[i];

  switch (g_rand_int_range (sim->random, 0, 10))
    {
    case 0:
      kill_node (sim, i);
      node->restart_at = sim->now + draw_msec (sim, 300, 9000);
      break;
    case 1:
      node->paused_until = sim->now + draw_msec (sim, 500, 9000);
      break;
    case 2:
      node->isolated = TRUE;
      node->restored_at = sim->now + draw_msec (sim, 1000, 9000);
      break;
    case 3:
      node->store_unreachable = TRUE;
      node->restored_at = sim->now + draw_msec (sim, 1000, 9000);
      break;
    case 4:
      node->isolated = node->store_unreachable = TRUE;
      node->restored_at = sim->now + draw_msec (sim, 1000, 12000);
      break;
    case 5:
      node->server.is_up = FALSE;
      node->server.next_heartbeat_at = sim->now + draw_msec (sim, 100, 6000);
      break;
    case 6:
      node->server.next_heartbeat_at = sim->now + draw_msec (sim, 900, 5000);
      break;
    case 7:
    case 8:
      kill_late_writer (sim);
      break;
    default:
      sim->store_back_at = sim->now + draw_msec (sim, 1000, 9000);
      break;
    }
}

#endif

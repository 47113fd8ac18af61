#ifndef TESTS_MESH_SIM_CHECK_H
#define TESTS_MESH_SIM_CHECK_H

#include "tests/mesh_sim_types.h"

/* Invariants of a simulation of mesh nodes.  */

/* Record in HOLDER that the server of node I holds RANGE now, and count the
   keys with two holders or without a higher fence.  */
static inline void
check_range (struct sim *sim, guint i, const struct key_range *range,
             guint8 *holder)
{
  guint32 key;

  for (key = range->first; key <= range->last; key++)
    {
      if (holder[key] != 0)
        sim->two_holder_count++;
      holder[key] = (guint8)(i + 1);
      if (sim->owner[key] != 0 && sim->owner[key] != i + 1
          && range->fence <= sim->max_fence[key])
        sim->fence_error_count++;
      sim->owner[key] = (guint8)(i + 1);
      sim->max_fence[key] = MAX (sim->max_fence[key], range->fence);
    }
}

/* Check the ranges that all servers hold.  */
static inline void
check_holders (struct sim *sim)
{
  static guint8 holder[SHARD_KEY_COUNT];
  guint i;
  guint k;

  memset (holder, 0, sizeof holder);
  for (i = 0; i < SIM_NODES; i++)
    {
      const struct sim_server *server = &sim->nodes[i].server;
      for (k = 0; server->is_up && sim->now < server->held_until
                  && k < server->held_count;
           k++)
        check_range (sim, i, &server->held_ranges[k], holder);
    }
}

/* Return how many keys are held now by servers that are granted them by
   calls.  */
static inline guint
keys_held_by_call (const struct sim *sim)
{
  guint keys = 0;
  guint32 key;
  guint i;

  for (key = 0; key < SHARD_KEY_COUNT; key++)
    for (i = 0; i < SIM_NODES; i++)
      if (sim->nodes[i].server.is_up
          && sim->nodes[i].server.holds[key].until > sim->now
          && grant_covers_key (&sim->nodes[i].mesh.grant, key, sim->now))
        keys++;
  return keys;
}

/* Return how many keys are held by some server now.  */
static inline guint
held_keys (const struct sim *sim)
{
  guint keys = 0;
  guint i;
  guint k;

  if (sim->method == GRANT_BY_CALL)
    return keys_held_by_call (sim);
  for (i = 0; i < SIM_NODES; i++)
    {
      const struct sim_server *server = &sim->nodes[i].server;
      for (k = 0; server->is_up && sim->now < server->held_until
                  && k < server->held_count;
           k++)
        keys += server->held_ranges[k].last - server->held_ranges[k].first + 1;
    }
  return keys;
}

#endif

#ifndef TESTS_MESH_WORLD_CHECK_H
#define TESTS_MESH_WORLD_CHECK_H

#include "tests/mesh_sim_types.h"

/* What must hold in a world of mesh nodes.  */

/* Note that node I's server holds ROW now.  */
static inline void
check_row (struct world *world, guint i, const struct key_range *row,
           guint8 *holder)
{
  guint32 key;

  for (key = row->first; key <= row->last; key++)
    {
      if (holder[key] != 0)
        world->doubles++;
      holder[key] = (guint8)(i + 1);
      if (world->owner[key] != 0 && world->owner[key] != i + 1
          && row->fence <= world->fence[key])
        world->falls++;
      world->owner[key] = (guint8)(i + 1);
      world->fence[key] = MAX (world->fence[key], row->fence);
    }
}

/* Look at what all servers hold.  */
static inline void
check_holders (struct world *world)
{
  static guint8 holder[SHARD_KEY_COUNT];
  guint i;
  guint k;

  memset (holder, 0, sizeof holder);
  for (i = 0; i < WORLD_NODES; i++)
    {
      const struct fake_server *server = &world->node[i].server;
      for (k = 0;
           server->up && world->now < server->hold_until && k < server->rows;
           k++)
        check_row (world, i, &server->row[k], holder);
    }
}

/* Keys that some server holds now.  */
static inline guint
held_keys (const struct world *world)
{
  guint keys = 0;
  guint i;
  guint k;

  for (i = 0; i < WORLD_NODES; i++)
    {
      const struct fake_server *server = &world->node[i].server;
      for (k = 0;
           server->up && world->now < server->hold_until && k < server->rows;
           k++)
        keys += server->row[k].last - server->row[k].first + 1;
    }
  return keys;
}

#endif

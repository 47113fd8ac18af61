#ifndef TESTS_MESH_WORLD_POST_H
#define TESTS_MESH_WORLD_POST_H

#include "tests/mesh_sim_types.h"

/* How what a node wants is put on its way.  */

/* A time between LOW and HIGH milliseconds.  */
static inline gint64
draw_msec (struct world *world, gint low, gint high)
{
  return (gint64)g_rand_int_range (world->random, low, high + 1)
         * USEC_PER_MSEC;
}

/* Put LETTER on its way.  */
static inline void
post (struct world *world, struct letter *letter, gint64 delay)
{
  letter->due = world->now + delay;
  g_array_append_vals (world->letters, letter, 1);
}

/* A copy of RECORD that owns what it holds.  */
static inline struct fleet_record
copy_record (const struct fleet_record *record)
{
  struct fleet_record copy = *record;

  if (record->kind == FLEET_MAP)
    shard_map_copy (&copy.u.map, &record->u.map);
  return copy;
}

/* Tell whether the store answers node I now.  */
static inline gboolean
has_store (const struct world *world, guint i)
{
  return world->now >= world->store_at && !world->node[i].off_store;
}

/* Do what node I wants.  */
static inline void
obey (struct world *world, guint i, const struct actions *actions)
{
  guint a;

  for (a = 0; a < actions->items->len; a++)
    {
      const struct action *action = actions_at (actions, a);
      struct letter letter
          = { .from = i, .server_instance = world->node[i].server_instance };
      switch (action->kind)
        {
        case ACTION_STORE_APPEND:
          letter.kind = LETTER_APPEND;
          letter.serial = action->u.store.serial;
          letter.at = action->u.store.expected_end;
          letter.record = copy_record (&action->u.store.record);
          post (world, &letter, draw_msec (world, 3, 30));
          break;
        case ACTION_REMOTE_APPEND:
          letter.kind = LETTER_APPEND;
          letter.serial = action->u.relay.serial;
          letter.at = action->u.relay.expected_end;
          letter.to = action->u.relay.address.port;
          letter.record = copy_record (&action->u.relay.record);
          post (world, &letter, draw_msec (world, 10, 60));
          break;
        case ACTION_READ_TOPIC_ENDS:
          letter.kind = LETTER_READ;
          letter.begun = world->now;
          post (world, &letter, draw_msec (world, 3, 200));
          break;
        case ACTION_MESH_CALL:
          letter.kind = LETTER_CALL;
          letter.to = action->u.mesh_call.address.port;
          letter.serial = action->u.mesh_call.serial;
          letter.member = action->u.mesh_call.member;
          letter.call = action->u.mesh_call.call;
          post (world, &letter, draw_msec (world, 1, 40));
          letter.kind = LETTER_TIMEOUT;
          post (world, &letter, action->u.mesh_call.deadline - world->now);
          break;
        case ACTION_MESH_REPLY:
          letter.kind = LETTER_REPLY;
          letter.to = action->u.mesh_reply.link.bits;
          letter.serial = action->u.mesh_reply.xid;
          letter.reply = action->u.mesh_reply.reply;
          post (world, &letter, draw_msec (world, 1, 40));
          break;
        case ACTION_HEARTBEAT_ANSWER:
          letter.kind = LETTER_BEAT;
          letter.begun = world->now;
          letter.answer = g_memdup2 (action->u.heartbeat_answer.answer,
                                     sizeof (struct heartbeat_answer));
          post (world, &letter, draw_msec (world, 1, 3));
          break;
        default:
          break;
        }
    }
}

/* Give EVENT to node I, if it runs.  */
static inline void
tell (struct world *world, guint i, const struct event *event)
{
  struct actions actions;

  if (!world->node[i].up || world->now < world->node[i].frozen_until)
    return;
  actions_init (&actions);
  mesh_step (&world->node[i].mesh, event, world->now, &actions);
  obey (world, i, &actions);
  actions_clear (&actions);
}

#endif

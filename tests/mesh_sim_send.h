#ifndef TESTS_MESH_SIM_SEND_H
#define TESTS_MESH_SIM_SEND_H

#include "tests/mesh_sim_types.h"

/* Turns the actions of a node into messages.  */

/* Return a random time between LOW and HIGH milliseconds, in microseconds.  */
static inline gint64
draw_msec (struct sim *sim, gint low, gint high)
{
  return (gint64)g_rand_int_range (sim->random, low, high + 1) * USEC_PER_MSEC;
}

/* Return the same for what concerns evacuations.  */
static inline gint64
draw_operator_msec (struct sim *sim, gint low, gint high)
{
  return (gint64)g_rand_int_range (sim->operator_random, low, high + 1)
         * USEC_PER_MSEC;
}

/* Return the name of data centre ZONE.  */
static inline const char *
sim_zone_name (guint zone)
{
  static const char *const names[] = { "zone-0", "zone-1", "zone-2" };

  return names[zone];
}

/* Return the number of the data centre of node I.  */
static inline guint
sim_zone_of (guint i)
{
  return i % SIM_ZONES;
}

/* Send MESSAGE, to arrive after DELAY.  */
static inline void
send_message (struct sim *sim, struct sim_message *message, gint64 delay)
{
  message->due_at = sim->now + delay;
  g_array_append_vals (sim->messages, message, 1);
}

/* Return a deep copy of RECORD.  */
static inline struct fleet_record
copy_record (const struct fleet_record *record)
{
  struct fleet_record copy = *record;

  if (record->kind == FLEET_MAP)
    shard_map_copy (&copy.u.map, &record->u.map);
  return copy;
}

/* Return whether the store answers node I now.  */
static inline gboolean
reaches_store (const struct sim *sim, guint i)
{
  return sim->now >= sim->store_back_at && !sim->nodes[i].store_unreachable;
}

/* Send MESSAGE, an append that takes DELAY to arrive.  Some are carried out
   late and have no answer.  */
static inline void
send_append (struct sim *sim, struct sim_message *message, gint64 delay)
{
  message->kind = SIM_APPEND;
  message->is_late
      = sim->now < sim->calm_at
        && g_rand_int_range (sim->random, 0, LATE_APPEND_ONE_IN) == 0;
  send_message (sim, message,
                message->is_late ? draw_msec (sim, 1000, 6000) : delay);
  if (!message->is_late)
    return;
  message->kind = SIM_APPENDED;
  message->code = ERR_INDETERMINATE;
  send_message (sim, message, APPEND_TIMEOUT_USEC);
}

/* Carry out ACTIONS of node I.  */
static inline void
do_actions (struct sim *sim, guint i, const struct actions *actions)
{
  guint a;

  for (a = 0; a < actions->items->len; a++)
    {
      const struct action *action = actions_at (actions, a);
      struct sim_message message
          = { .from = i, .process_number = sim->nodes[i].process_number };
      switch (action->kind)
        {
        case ACTION_STORE_APPEND:
          message.serial = action->u.store_append.serial;
          message.offset = action->u.store_append.expected_end;
          message.record = copy_record (&action->u.store_append.record);
          send_append (sim, &message, draw_msec (sim, 3, 30));
          break;
        case ACTION_REMOTE_APPEND:
          message.serial = action->u.remote_append.serial;
          message.offset = action->u.remote_append.expected_end;
          message.to = action->u.remote_append.address.port;
          message.record = copy_record (&action->u.remote_append.record);
          send_append (sim, &message, draw_msec (sim, 10, 60));
          break;
        case ACTION_READ_TOPIC:
          message.started_at = sim->now;
          if (action->u.read_topic.topic != MESH_TOPIC_FLEET)
            {
              message.kind = SIM_READ_OPERATOR;
              if (sim->has_evacuations)
                send_message (sim, &message, draw_operator_msec (sim, 3, 30));
              break;
            }
          message.kind = SIM_READ;
          send_message (sim, &message, draw_msec (sim, 3, 200));
          break;
        case ACTION_MESH_CALL:
          message.kind = SIM_CALL;
          message.to = action->u.mesh_call.address.port;
          message.serial = action->u.mesh_call.serial;
          message.member = action->u.mesh_call.member;
          message.call = action->u.mesh_call.call;
          send_message (sim, &message, draw_msec (sim, 1, 40));
          message.kind = SIM_TIMEOUT;
          send_message (sim, &message,
                        action->u.mesh_call.deadline - sim->now);
          break;
        case ACTION_MESH_REPLY:
          message.kind = SIM_REPLY;
          message.to = action->u.mesh_reply.link.bits;
          message.serial = action->u.mesh_reply.xid;
          message.reply = action->u.mesh_reply.reply;
          send_message (sim, &message, draw_msec (sim, 1, 40));
          break;
        case ACTION_HEARTBEAT_ANSWER:
          message.kind = SIM_HEARTBEAT_ANSWER;
          message.started_at = sim->now;
          message.answer = g_memdup2 (action->u.heartbeat_answer.answer,
                                      sizeof (struct heartbeat_answer));
          send_message (sim, &message, draw_msec (sim, 1, 3));
          break;
        case ACTION_KEY_ORDER:
          message.kind = SIM_ORDER;
          message.serial = action->u.key_order.serial;
          message.order = action->u.key_order.order;
          message.started_at = sim->now;
          message.born_msec
              = sim->nodes[i].mesh.grant.instance.started_at_msec;
          message.is_late
              = sim->now < sim->calm_at
                && g_rand_int_range (sim->random, 0, LATE_ONE_IN) == 0;
          send_message (sim, &message,
                        message.is_late ? draw_msec (sim, 2000, 12000)
                                        : draw_msec (sim, 1, 3));
          message.kind = SIM_ORDER_ENDED;
          message.code = ERR_INDETERMINATE;
          send_message (sim, &message,
                        action->u.key_order.deadline - sim->now);
          break;
        default:
          break;
        }
    }
}

/* Pass EVENT to node I, if its process runs.  */
static inline void
feed_node (struct sim *sim, guint i, const struct event *event)
{
  struct actions actions;

  if (!sim->nodes[i].is_up || sim->now < sim->nodes[i].paused_until)
    return;
  actions_init (&actions);
  mesh_step (&sim->nodes[i].mesh, event, sim->now, &actions);
  do_actions (sim, i, &actions);
  actions_clear (&actions);
}

#endif

#ifndef TESTS_MESH_SIM_MESSAGES_H
#define TESTS_MESH_SIM_MESSAGES_H

#include "tests/mesh_sim_send.h"

/* Delivery of calls to the store and between nodes of a simulation.  */

/* The store */

/* Append the record in MESSAGE to the store, directly or through a peer, and
   send the outcome back.  */
static inline void
on_append (struct sim *sim, struct sim_message *message)
{
  struct sim_message back = { .kind = SIM_APPENDED,
                              .from = message->from,
                              .process_number = message->process_number,
                              .serial = message->serial };
  guint via = message->to != 0 ? message->to : message->from;

  if (!message->is_late && !reaches_store (sim, via))
    back.code = ERR_UNAVAILABLE;
  else if (message->offset != APPEND_UNCONDITIONAL
           && message->offset != sim->log->len)
    back.code = ERR_CONFLICT;
  else
    {
      struct fleet_record record = copy_record (&message->record);
      back.offset = sim->log->len;
      g_array_append_val (sim->log, record);
      if (g_rand_int_range (sim->random, 0, 20) == 0)
        back.code = ERR_INDETERMINATE;
    }
  if (!message->is_late)
    send_message (sim, &back, draw_msec (sim, 3, 30));
}

/* Answer the read of the store in MESSAGE.  */
static inline void
on_read (struct sim *sim, const struct sim_message *message)
{
  struct sim_message back = *message;

  if (!reaches_store (sim, message->from))
    return;
  back.kind = SIM_RECORDS;
  back.offset = sim->log->len;
  send_message (sim, &back, draw_msec (sim, 3, 100));
}

/* Give the records below NEXT to node I, by a read that began at STARTED_AT,
   or from a peer if that is 0.  */
static inline void
on_records (struct sim *sim, guint i, guint64 next, gint64 started_at)
{
  struct sim_node *node = &sim->nodes[i];
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct event read
      = { .kind = EVENT_TOPIC_READ,
          .u.topic_read = { .topic = MESH_TOPIC_FLEET, .at_end = TRUE } };
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  guint64 offset;

  if (!node->is_up || sim->now < node->paused_until)
    {
      g_array_free (entries, TRUE);
      return;
    }
  for (offset = node->read_offset; offset < next; offset++)
    {
      struct fleet_entry entry
          = { offset, g_array_index (sim->log, struct fleet_record, offset) };
      g_array_append_val (entries, entry);
    }
  node->read_offset = MAX (node->read_offset, next);
  event.u.fleet_records.items = (const void *)entries->data;
  event.u.fleet_records.count = entries->len;
  event.u.fleet_records.next_offset = next;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = started_at != 0;
  event.u.fleet_records.started_at = started_at;
  feed_node (sim, i, &event);
  g_array_free (entries, TRUE);
  if (started_at == 0)
    return;
  read.u.topic_read.started_at = started_at;
  feed_node (sim, i, &read);
}

/* Calls between nodes */

/* Deliver the call in MESSAGE to its receiver.  */
static inline void
on_call (struct sim *sim, const struct sim_message *message)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  const struct sim_node *to = &sim->nodes[message->to];

  if (to->isolated || sim->nodes[message->from].isolated || !to->is_up)
    return;
  if (message->call.kind == MESH_FETCH)
    {
      on_records (sim, message->from, to->mesh.fleet.applied_offset, 0);
      return;
    }
  event.u.mesh_call.link.bits = message->from;
  event.u.mesh_call.xid = (guint32)message->serial;
  event.u.mesh_call.call = &message->call;
  feed_node (sim, message->to, &event);
}

/* Remove the timeout of the call that MESSAGE answers.  */
static inline void
cancel_timeout (struct sim *sim, const struct sim_message *message)
{
  guint i;

  for (i = 0; i < sim->messages->len; i++)
    {
      const struct sim_message *other
          = &g_array_index (sim->messages, struct sim_message, i);
      if (other->kind == SIM_TIMEOUT && other->from == message->to
          && other->serial == message->serial)
        {
          g_array_remove_index (sim->messages, i);
          return;
        }
    }
}

/* Report a call without a reply to its caller.  */
static inline void
on_timeout (struct sim *sim, const struct sim_message *message)
{
  struct mesh_reply reply
      = { .kind = message->call.kind, .code = ERR_INDETERMINATE };
  struct event event = { .kind = EVENT_MESH_REPLY };

  event.u.mesh_reply.serial = message->serial;
  event.u.mesh_reply.member = message->member;
  event.u.mesh_reply.reply = &reply;
  if (sim->nodes[message->from].process_number == message->process_number)
    feed_node (sim, message->from, &event);
}

/* Deliver the reply to a gossip message.  The caller finds the called node by
   its name.  */
static inline void
on_reply (struct sim *sim, const struct sim_message *message)
{
  struct sim_node *to = &sim->nodes[message->to];
  struct event event = { .kind = EVENT_MESH_REPLY };

  if (to->isolated || sim->nodes[message->from].isolated || !to->is_up)
    return;
  cancel_timeout (sim, message);
  event.u.mesh_reply.serial = message->serial;
  event.u.mesh_reply.member
      = fleet_state_find (&to->mesh.fleet, message->reply.u.gossip.name);
  event.u.mesh_reply.reply = &message->reply;
  feed_node (sim, message->to, &event);
}

#endif

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

  if (!message->is_late
      && (!reaches_store (sim, via)
          || sim->now < sim->nodes[message->from].no_append_until))
    back.code = ERR_UNAVAILABLE;
  else if (message->offset != APPEND_UNCONDITIONAL
           && store_offset_raw (message->offset) != sim->log->len)
    back.code = ERR_CONFLICT;
  else
    {
      struct fleet_record record = copy_record (&message->record);
      back.offset = store_offset_make (sim->era, sim->log->len);
      g_array_append_val (sim->log, record);
      g_array_append_val (sim->log_times, sim->now);
      if (g_rand_int_range (sim->random, 0, 20) == 0
          || (message->offset != APPEND_UNCONDITIONAL
              && store_offset_era (message->offset) != sim->era))
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
  back.offset = store_offset_make (sim->era, sim->log->len);
  send_message (sim, &back, draw_msec (sim, 3, 100));
}

/* Give the records below NEXT to node I, by a read that began at STARTED_AT.
   An answer of an earlier era of the store is not used.  */
static inline void
on_records (struct sim *sim, guint i, guint64 next, gint64 started_at)
{
  struct sim_node *node = &sim->nodes[i];
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  struct event read
      = { .kind = EVENT_TOPIC_READ,
          .u.topic_read = { .topic = MESH_TOPIC_FLEET, .at_end = TRUE } };
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  guint64 offset = node->read_offset;

  if (!node->is_up || sim->now < node->paused_until
      || store_offset_era (next) != sim->era)
    {
      g_array_free (entries, TRUE);
      return;
    }
  if (store_offset_era (offset) != sim->era)
    offset = store_offset_make (sim->era, 0);
  for (; offset < next; offset++)
    {
      struct fleet_entry entry
          = { offset, g_array_index (sim->log, struct fleet_record,
                                     store_offset_raw (offset)) };
      g_array_append_val (entries, entry);
    }
  node->read_offset = MAX (node->read_offset, next);
  event.u.fleet_records.items = (const void *)entries->data;
  event.u.fleet_records.count = entries->len;
  event.u.fleet_records.next_offset = next;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = TRUE;
  event.u.fleet_records.started_at = started_at;
  feed_node (sim, i, &event);
  g_array_free (entries, TRUE);
  read.u.topic_read.started_at = started_at;
  feed_node (sim, i, &read);
}

/* Calls between nodes */

/* Give node I what node FROM knows beyond FETCH.  */
static inline void
on_fetch (struct sim *sim, guint i, const struct sim_node *from,
          const struct mesh_fetch *fetch)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  GArray *entries = fleet_state_since (
      &from->mesh.fleet, fetch->applied_offset, fetch->accepts_patches);
  guint k;

  event.u.fleet_records.items = (const void *)entries->data;
  event.u.fleet_records.count = entries->len;
  event.u.fleet_records.next_offset = from->mesh.fleet.applied_offset;
  event.u.fleet_records.complete = TRUE;
  feed_node (sim, i, &event);
  for (k = 0; k < entries->len; k++)
    fleet_record_clear (
        &g_array_index (entries, struct fleet_entry, k).record);
  g_array_free (entries, TRUE);
}

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
      on_fetch (sim, message->from, to, &message->call.u.fetch);
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

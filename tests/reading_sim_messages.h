#ifndef TESTS_READING_SIM_MESSAGES_H
#define TESTS_READING_SIM_MESSAGES_H

#include "tests/reading_sim_store.h"

/* Calls between the nodes of a simulation, and the delivery of all messages.
 */

/* Carry out ACTIONS of node I.  */
static inline void
reading_perform (struct reading_sim *sim, guint i,
                 const struct actions *actions)
{
  gint64 delay = NODE_DELAY_USEC + sim->nodes[i].send_delay_usec;
  guint a;

  for (a = 0; a < actions->items->len; a++)
    {
      const struct action *action = actions_at (actions, a);
      struct reading_message message
          = { .from = i, .process = sim->nodes[i].process };
      switch (action->kind)
        {
        case ACTION_READ_TOPIC:
          reading_read (sim, i, action->u.read_topic.topic);
          break;
        case ACTION_MESH_CALL:
          message.kind = READING_CALL;
          message.to = action->u.mesh_call.address.port;
          message.serial = action->u.mesh_call.serial;
          message.member = action->u.mesh_call.member;
          message.call = action->u.mesh_call.call;
          reading_send (sim, &message, delay);
          message.kind = READING_TIMEOUT;
          reading_send (sim, &message,
                        action->u.mesh_call.deadline - sim->now);
          break;
        case ACTION_MESH_REPLY:
          message.kind = READING_REPLY;
          message.to = action->u.mesh_reply.link.bits;
          message.serial = action->u.mesh_reply.xid;
          message.reply = action->u.mesh_reply.reply;
          reading_send (sim, &message, delay);
          break;
        default:
          break;
        }
    }
}

/* Pass EVENT to node I, if its process runs.  */
static inline void
reading_feed (struct reading_sim *sim, guint i, const struct event *event)
{
  struct actions actions;

  if (!sim->nodes[i].is_up || sim->now < sim->nodes[i].frozen_until)
    {
      if (event->kind == EVENT_ROUTING)
        routing_free (event->u.routing.routing);
      return;
    }
  actions_init (&actions);
  mesh_step (&sim->nodes[i].mesh, event, sim->now, &actions);
  reading_perform (sim, i, &actions);
  actions_clear (&actions);
}

/* Report the end of the read in MESSAGE to its node.  */
static inline void
reading_on_result (struct reading_sim *sim,
                   const struct reading_message *message)
{
  struct event event = { .kind = EVENT_TOPIC_READ };
  guint i = message->from;

  if (message->code == ERR_NONE && message->topic == MESH_TOPIC_FLEET)
    reading_give_fleet (sim, i, message->end, TRUE, message->started_at);
  if (message->code == ERR_NONE && message->topic == MESH_TOPIC_CONFIG)
    {
      reading_give_evacuations (sim, i, message->version,
                                message->evacuations);
      reading_give_config (sim, i, message->version, TRUE);
    }
  event.u.topic_read.topic = message->topic;
  event.u.topic_read.code = message->code;
  event.u.topic_read.at_end = message->code == ERR_NONE;
  event.u.topic_read.started_at = message->started_at;
  reading_feed (sim, i, &event);
}

/* Return whether nothing passes from node FROM to node TO.  */
static inline gboolean
reading_is_cut (const struct reading_sim *sim, guint from, guint to)
{
  return sim->nodes[from].is_cut || sim->nodes[to].is_cut
         || sim->nodes[to].is_deaf;
}

/* Deliver the call in MESSAGE.  */
static inline void
reading_on_call (struct reading_sim *sim,
                 const struct reading_message *message)
{
  struct reading_node *to = &sim->nodes[message->to];
  gint64 delay = NODE_DELAY_USEC + to->send_delay_usec;
  struct event event = { .kind = EVENT_MESH_CALL };
  struct reading_message back = { .kind = READING_FETCHED,
                                  .from = message->from,
                                  .to = message->to,
                                  .process = message->process };

  if (reading_is_cut (sim, message->from, message->to) || !to->is_up
      || sim->now < to->frozen_until)
    return;
  if (message->call.kind == MESH_FETCH)
    {
      back.end = to->mesh.fleet.applied_offset;
      back.serial = message->serial;
      if (mesh_routing_version (&to->mesh)
          > message->call.u.fetch.config_version)
        {
          back.version = mesh_routing_version (&to->mesh);
          delay += reading_transfer_usec (sim, to, &sim->nodes[message->from],
                                          sim->sent_bytes);
        }
      reading_send (sim, &back, delay);
      return;
    }
  event.u.mesh_call.link.bits = message->from;
  event.u.mesh_call.xid = (guint32)message->serial;
  event.u.mesh_call.call = &message->call;
  reading_feed (sim, message->to, &event);
}

/* Remove the timeout of the call with SERIAL of node I.  Return whether the
   call had not timed out.  */
static inline gboolean
reading_cancel_timeout (struct reading_sim *sim, guint i, guint64 serial)
{
  guint m;

  for (m = 0; m < sim->messages->len; m++)
    {
      const struct reading_message *other
          = &g_array_index (sim->messages, struct reading_message, m);
      if (other->kind != READING_TIMEOUT || other->from != i
          || other->serial != serial)
        continue;
      g_array_remove_index (sim->messages, m);
      return TRUE;
    }
  return FALSE;
}

/* Deliver MESSAGE, a reply or the end of a call without one.  */
static inline void
reading_on_reply (struct reading_sim *sim,
                  const struct reading_message *message)
{
  gboolean timed_out = message->kind == READING_TIMEOUT;
  guint caller = timed_out ? message->from : message->to;
  struct event event = { .kind = EVENT_MESH_REPLY };
  struct mesh_reply failed
      = { .kind = message->call.kind, .code = ERR_INDETERMINATE };

  if (!timed_out && reading_is_cut (sim, message->from, message->to))
    return;
  event.u.mesh_reply.serial = message->serial;
  event.u.mesh_reply.member = message->member;
  event.u.mesh_reply.reply = timed_out ? &failed : &message->reply;
  if (!timed_out)
    {
      reading_cancel_timeout (sim, caller, message->serial);
      event.u.mesh_reply.member = fleet_state_find (
          &sim->nodes[caller].mesh.fleet, message->reply.u.gossip.name);
    }
  reading_feed (sim, caller, &event);
}

/* Deliver what another node has read, in MESSAGE, to the node that fetched
   it, unless the call has timed out.  */
static inline void
reading_on_fetched (struct reading_sim *sim,
                    const struct reading_message *message)
{
  struct mesh_reply reply = { .kind = MESH_FETCH };
  struct event event = { .kind = EVENT_MESH_REPLY };

  if (!reading_cancel_timeout (sim, message->from, message->serial))
    return;
  reading_give_fleet (sim, message->from, message->end, FALSE, 0);
  reading_give_config (sim, message->from, message->version, FALSE);
  event.u.mesh_reply.serial = message->serial;
  event.u.mesh_reply.reply = &reply;
  reading_feed (sim, message->from, &event);
}

/* Deliver MESSAGE.  What a process asked for ends with it; a frozen one gets
   it when it goes on.  */
static inline void
reading_deliver (struct reading_sim *sim, struct reading_message *message)
{
  guint receiver
      = message->kind == READING_CALL || message->kind == READING_REPLY
            ? message->to
            : message->from;
  struct reading_node *node = &sim->nodes[receiver];

  if (sim->now < node->frozen_until)
    {
      reading_send (sim, message, node->frozen_until - sim->now);
      return;
    }
  if (!node->is_up
      || (receiver == message->from && message->process != node->process))
    return;
  switch (message->kind)
    {
    case READING_RESULT:
      if (message->is_poll)
        node->polls[message->topic].pending = FALSE;
      reading_on_result (sim, message);
      break;
    case READING_CALL:
      reading_on_call (sim, message);
      break;
    case READING_REPLY:
    case READING_TIMEOUT:
      reading_on_reply (sim, message);
      break;
    case READING_FETCHED:
      if (reading_is_cut (sim, message->to, message->from))
        break;
      reading_on_fetched (sim, message);
      break;
    }
}

/* Deliver all messages that are due.  */
static inline void
reading_deliver_due (struct reading_sim *sim)
{
  guint m = 0;

  while (m < sim->messages->len)
    {
      struct reading_message message
          = g_array_index (sim->messages, struct reading_message, m);
      if (message.due_at > sim->now)
        {
          m++;
          continue;
        }
      g_array_remove_index (sim->messages, m);
      reading_deliver (sim, &message);
    }
}

#endif

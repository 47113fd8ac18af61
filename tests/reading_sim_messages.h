#ifndef TESTS_READING_SIM_MESSAGES_H
#define TESTS_READING_SIM_MESSAGES_H

#include "tests/reading_sim_types.h"

/* Reads of the store and calls between the nodes of a simulation.  */

/* Return the name of node I.  */
static inline const char *
reading_name (guint i)
{
  static char name[NAME_SIZE];

  g_snprintf (name, sizeof name, "node-%02u", i);
  return name;
}

/* Return the process of node I as others know it.  */
static inline guint64
reading_incarnation (const struct reading_sim *sim, guint i)
{
  return ((guint64)(i + 1) << 32) + sim->nodes[i].process;
}

/* Return the newest version of the configuration.  */
static inline guint64
reading_newest (const struct reading_sim *sim)
{
  return sim->acked->len;
}

static inline void reading_feed (struct reading_sim *sim, guint i,
                                 const struct event *event);

/* Send MESSAGE, to arrive after DELAY.  */
static inline void
reading_send (struct reading_sim *sim, struct reading_message *message,
              gint64 delay)
{
  message->due_at = sim->now + delay;
  g_array_append_vals (sim->messages, message, 1);
}

/* Add a record to the fleet's topic: that of *MEMBER as it runs now, or one
   that changes nothing.  */
static inline void
reading_add_record (struct reading_sim *sim, const guint *member)
{
  struct reading_record record = { .is_member = member != NULL };

  if (member != NULL)
    {
      record.member = *member;
      record.incarnation = reading_incarnation (sim, *member);
    }
  g_array_append_val (sim->fleet, record);
}

/* Give node I the records of the fleet below END.  */
static inline void
reading_give_fleet (struct reading_sim *sim, guint i, guint64 end,
                    gboolean at_end, gint64 started_at)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  guint64 offset = sim->nodes[i].mesh.fleet.applied_offset;

  for (; offset < end; offset++)
    {
      struct fleet_entry entry = { .offset = offset };
      struct fleet_member *member = &entry.record.u.member;
      const struct reading_record *record
          = &g_array_index (sim->fleet, struct reading_record, offset);
      guint k = record->member;
      if (record->is_member)
        {
          entry.record.kind = FLEET_MEMBER;
          g_strlcpy (member->name, reading_name (k), sizeof member->name);
          g_snprintf (member->zone, sizeof member->zone, "z%u",
                      k * READING_ZONES / READING_NODES);
          g_strlcpy (member->service, "s", sizeof member->service);
          g_snprintf (member->instance.id, NAME_SIZE, "i%u", k);
          member->incarnation = record->incarnation;
          member->peer_address.port = (guint16)k;
          member->slots = 4;
        }
      else
        {
          entry.record.kind = FLEET_SUSPECT;
          entry.record.u.suspect.digest = offset;
        }
      fleet_record_set_key (&entry.record);
      g_array_append_val (entries, entry);
    }
  event.u.fleet_records.items = (const void *)entries->data;
  event.u.fleet_records.count = entries->len;
  event.u.fleet_records.next_offset = end;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = at_end;
  event.u.fleet_records.started_at = started_at;
  reading_feed (sim, i, &event);
  g_array_free (entries, TRUE);
}

/* Give node I the configuration VERSION.  */
static inline void
reading_give_config (struct reading_sim *sim, guint i, guint64 version,
                     gboolean from_store)
{
  struct event event = { .kind = EVENT_ROUTING };

  if (version <= mesh_config_version (&sim->nodes[i].mesh))
    return;
  event.u.routing.routing = routing_new (version);
  event.u.routing.from_store = from_store;
  reading_feed (sim, i, &event);
}

/* Start a read of TOPIC by node I.  */
static inline void
reading_read (struct reading_sim *sim, guint i, enum mesh_topic topic)
{
  const struct reading_node *node = &sim->nodes[i];
  struct reading_message message = { .kind = READING_RESULT,
                                     .from = i,
                                     .process = node->process,
                                     .topic = topic,
                                     .started_at = sim->now,
                                     .end = sim->fleet->len,
                                     .version = reading_newest (sim) };

  sim->reads++;
  if (node->service != READING_SERVED)
    message.code = ERR_UNAVAILABLE;
  reading_send (sim, &message,
                node->service == READING_SILENT ? CALL_FAILS_USEC
                                                : sim->store_delay_usec);
}

/* Carry out ACTIONS of node I.  */
static inline void
reading_perform (struct reading_sim *sim, guint i,
                 const struct actions *actions)
{
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
          reading_send (sim, &message, NODE_DELAY_USEC);
          message.kind = READING_TIMEOUT;
          reading_send (sim, &message,
                        action->u.mesh_call.deadline - sim->now);
          break;
        case ACTION_MESH_REPLY:
          message.kind = READING_REPLY;
          message.to = action->u.mesh_reply.link.bits;
          message.serial = action->u.mesh_reply.xid;
          message.reply = action->u.mesh_reply.reply;
          reading_send (sim, &message, NODE_DELAY_USEC);
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
    reading_give_config (sim, i, message->version, TRUE);
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
  const struct reading_node *to = &sim->nodes[message->to];
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
      if (mesh_config_version (&to->mesh)
          > message->call.u.fetch.config_version)
        back.version = mesh_config_version (&to->mesh);
      reading_send (sim, &back, NODE_DELAY_USEC);
      return;
    }
  event.u.mesh_call.link.bits = message->from;
  event.u.mesh_call.xid = (guint32)message->serial;
  event.u.mesh_call.call = &message->call;
  reading_feed (sim, message->to, &event);
}

/* Remove the timeout of the call with SERIAL of node I.  */
static inline void
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
      return;
    }
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
   it.  */
static inline void
reading_on_fetched (struct reading_sim *sim,
                    const struct reading_message *message)
{
  struct mesh_reply reply = { .kind = MESH_FETCH };
  struct event event = { .kind = EVENT_MESH_REPLY };

  reading_cancel_timeout (sim, message->from, message->serial);
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

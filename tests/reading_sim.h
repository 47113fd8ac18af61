#ifndef TESTS_READING_SIM_H
#define TESTS_READING_SIM_H

#include "mesh/mesh_parts.h"
#include "tests/suite.h"

/* A simulation of a fleet of nodes that read a store and tell one another what
   they read, under scripted time.  The store can leave any of them without an
   answer, or refuse them.  The simulation checks how soon each version of the
   configuration is in force at the nodes, and what a node says that lacks
   one.  */

#define READING_NODES 24u
#define READING_ZONES 4u
#define READING_STEP_USEC ((gint64)10000)
#define MSEC ((gint64)1000)

#define POLL_FAILS_USEC                                                       \
  ((gint64)21500000)                      /* a long poll without an answer    \
                                           */
#define CALL_FAILS_USEC ((gint64)1500000) /* any other call without one */
#define STORE_DELAY_USEC ((gint64)8000)   /* an answer of the store */
#define SLOW_STORE_USEC ((gint64)300000)  /* the same of a slow store */
#define NODE_DELAY_USEC ((gint64)4000)    /* a message between nodes */
#define CONTACT_USEC ((gint64)3000000)    /* a node is in touch after this */
#define APPLY_BOUND_USEC                                                      \
  ((gint64)2500000)                        /* a version is in force by then   \
                                            */
#define RECORD_EVERY_USEC ((gint64)700000) /* between records of the fleet */

/* How the store treats a node.  */
enum reading_service
{
  READING_SERVED, /* answers it */
  READING_SILENT, /* gives no answer */
  READING_REFUSED /* refuses its calls */
};

enum reading_kind
{
  READING_RESULT,  /* a read of the store ended */
  READING_CALL,    /* a call to another node */
  READING_REPLY,   /* its reply */
  READING_TIMEOUT, /* the end of a call without a reply */
  READING_FETCHED  /* what another node has read */
};

struct reading_message
{
  gint64 due_at;           /* time of arrival */
  enum reading_kind kind;  /* type of the message */
  guint from;              /* node that made the call or read */
  guint to;                /* node that is called */
  guint32 process;         /* process that made it */
  enum mesh_topic topic;   /* topic of a read */
  gboolean is_poll;        /* the read waited for records */
  enum err code;           /* result of a read */
  guint64 end;             /* end of the topic as read */
  guint64 version;         /* newest configuration as read or fetched */
  gint64 started_at;       /* start of the read */
  guint64 serial;          /* serial of the call */
  struct handle member;    /* handle of the called node at the caller */
  struct mesh_call call;   /* the call */
  struct mesh_reply reply; /* the reply */
};

/* A long poll of a node.  */
struct reading_poll
{
  gboolean pending;    /* it was sent and has not ended */
  gboolean dead;       /* it gets no answer any more */
  gint64 started_at;   /* when it was sent */
  gint64 paused_until; /* no other starts before */
};

struct reading_node
{
  struct mesh mesh;
  gboolean is_up;
  guint32 process;              /* number of the process */
  enum reading_service service; /* how the store treats the node */
  gboolean is_cut;              /* nothing passes to or from other nodes */
  gboolean is_deaf;             /* nothing passes to it from other nodes */
  gint64 frozen_until;          /* the process stands still until then */
  gint64 disturbed_at;          /* last time at which it was not in touch */
  struct reading_poll polls[2]; /* by topic */
};

/* A record of the fleet's topic: of a member, or one that changes nothing.  */
struct reading_record
{
  gboolean is_member;
  guint member;        /* node whose record it is */
  guint64 incarnation; /* process that it names */
};

struct reading_sim
{
  struct reading_node nodes[READING_NODES];
  GArray *messages;        /* struct reading_message */
  GArray *acked;           /* gint64, when version 1 and so on was acked */
  gint64 store_delay_usec; /* an answer of the store */
  GArray *fleet;           /* struct reading_record, the fleet's topic */
  gint64 now;
  gint64 next_record_at; /* next record of the fleet */
  gint64 worst_usec;     /* longest time until a version was in force at a
                            node in touch */
  guint late_count;      /* nodes and steps beyond APPLY_BOUND_USEC */
  guint false_count;     /* times at which a node that lacked a version
                            beyond the bound said that a route is missing */
  guint reads;           /* calls to the store */
};

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

/* Start, end or fail the long poll of node I on TOPIC.  */
static inline void
reading_step_poll (struct reading_sim *sim, guint i, enum mesh_topic topic)
{
  struct reading_node *node = &sim->nodes[i];
  struct reading_poll *poll = &node->polls[topic];
  struct reading_message message = { .kind = READING_RESULT,
                                     .from = i,
                                     .process = node->process,
                                     .topic = topic,
                                     .is_poll = TRUE,
                                     .end = sim->fleet->len,
                                     .version = reading_newest (sim) };
  gboolean has_more
      = topic == MESH_TOPIC_FLEET
            ? node->mesh.fleet.applied_offset < sim->fleet->len
            : mesh_config_version (&node->mesh) < reading_newest (sim);
  gboolean reads = topic == MESH_TOPIC_FLEET
                       ? mesh_reads_fleet (&node->mesh, sim->now)
                       : mesh_reads_config (&node->mesh, sim->now);

  if (!poll->pending && reads && sim->now >= poll->paused_until)
    {
      *poll = (struct reading_poll){ .pending = TRUE, .started_at = sim->now };
      sim->reads++;
    }
  if (!poll->pending)
    return;
  poll->dead = poll->dead || node->service != READING_SERVED;
  message.started_at = poll->started_at;
  if (node->service == READING_REFUSED
      || (poll->dead && sim->now - poll->started_at >= POLL_FAILS_USEC))
    message.code = ERR_UNAVAILABLE;
  else if (poll->dead || !has_more)
    return;
  poll->paused_until = sim->now + 120 * MSEC;
  reading_send (sim, &message,
                message.code != ERR_NONE ? 0 : sim->store_delay_usec);
  poll->pending = FALSE;
}

/* Start the process of node I.  */
static inline void
reading_start (struct reading_sim *sim, guint i)
{
  struct reading_node *node = &sim->nodes[i];
  struct mesh_settings settings = { .heartbeat_usec = 900 * MSEC,
                                    .max_grant_usec = 10000 * MSEC,
                                    .drain_limit_usec = 2000 * MSEC,
                                    .config_apply_usec = APPLY_BOUND_USEC,
                                    .stop_grace_usec = 6000 * MSEC };

  node->process++;
  g_strlcpy (settings.name, reading_name (i), sizeof settings.name);
  g_snprintf (settings.zone, sizeof settings.zone, "z%u",
              i * READING_ZONES / READING_NODES);
  g_strlcpy (settings.service, "s", sizeof settings.service);
  settings.peer_address.port = (guint16)i;
  settings.incarnation = reading_incarnation (sim, i);
  memset (node->polls, 0, sizeof node->polls);
  mesh_init (&node->mesh, &settings, sim->now);
  node->is_up = TRUE;
  node->frozen_until = 0;
  node->disturbed_at = sim->now;
  reading_add_record (sim, &i);
}

/* Kill the process of node I.  */
static inline void
reading_kill (struct reading_sim *sim, guint i)
{
  if (sim->nodes[i].is_up)
    mesh_clear (&sim->nodes[i].mesh);
  sim->nodes[i].is_up = FALSE;
}

/* Ask the process of node I to stop.  */
static inline void
reading_stop (struct reading_sim *sim, guint i)
{
  struct event event = { .kind = EVENT_DRAIN };

  reading_feed (sim, i, &event);
}

/* Return what node I answers to a request that no route matches.  */
static inline enum reason
reading_refusal (struct reading_sim *sim, guint i)
{
  struct event event = { .kind = EVENT_REQUEST };
  struct actions actions;
  enum reason reason = REASON_NONE;
  guint a;

  event.u.request.exchange = handle_make (1, 1);
  event.u.request.request.deadline = sim->now + 1000 * MSEC;
  event.u.request.host = "h";
  event.u.request.target = "/none/x";
  actions_init (&actions);
  mesh_step (&sim->nodes[i].mesh, &event, sim->now, &actions);
  for (a = 0; a < actions.items->len; a++)
    if (actions_at (&actions, a)->kind == ACTION_ANSWER)
      reason = actions_at (&actions, a)->u.answer.reason;
  actions_clear (&actions);
  return reason;
}

/* Check node I: which versions it lacks, and for how long.  */
static inline void
reading_check (struct reading_sim *sim, guint i)
{
  struct reading_node *node = &sim->nodes[i];
  guint64 version = node->is_up ? mesh_config_version (&node->mesh) : 0;
  gint64 lacks_usec;

  if (node->is_cut || node->is_deaf || !node->is_up
      || sim->now < node->frozen_until)
    node->disturbed_at = sim->now;
  if (!node->is_up || sim->now < node->frozen_until
      || version >= reading_newest (sim))
    return;
  lacks_usec = sim->now - g_array_index (sim->acked, gint64, version);
  if (lacks_usec > APPLY_BOUND_USEC
      && reading_refusal (sim, i) == REASON_NO_RULE)
    sim->false_count++;
  if (sim->now - node->disturbed_at < CONTACT_USEC)
    return;
  sim->worst_usec = MAX (sim->worst_usec, lacks_usec);
  sim->late_count += lacks_usec > APPLY_BOUND_USEC;
}

/* Have the last node that the store serves append a record of the fleet.  An
   append at the end of the topic shows its node that there is nothing newer.
 */
static inline void
reading_append (struct reading_sim *sim)
{
  guint i = READING_NODES;

  while (i-- > 0)
    if (sim->nodes[i].is_up && sim->nodes[i].service == READING_SERVED
        && sim->now >= sim->nodes[i].frozen_until)
      {
        reading_add_record (sim, NULL);
        reading_give_fleet (sim, i, sim->fleet->len, TRUE, sim->now);
        return;
      }
}

/* Advance all nodes by one step.  */
static inline void
reading_step (struct reading_sim *sim)
{
  struct event tick = { .kind = EVENT_TICK };
  guint i;

  sim->now += READING_STEP_USEC;
  if (sim->now >= sim->next_record_at)
    {
      reading_append (sim);
      sim->next_record_at = sim->now + RECORD_EVERY_USEC;
    }
  reading_deliver_due (sim);
  for (i = 0; i < READING_NODES; i++)
    {
      if (sim->nodes[i].is_up && sim->nodes[i].mesh.exit_requested)
        reading_kill (sim, i);
      if (!sim->nodes[i].is_up)
        continue;
      reading_feed (sim, i, &tick);
      reading_step_poll (sim, i, MESH_TOPIC_FLEET);
      reading_step_poll (sim, i, MESH_TOPIC_CONFIG);
    }
  for (i = 0; i < READING_NODES; i++)
    reading_check (sim, i);
}

/* Let USEC pass.  */
static inline void
reading_run (struct reading_sim *sim, gint64 usec)
{
  gint64 until = sim->now + usec;

  while (sim->now < until)
    reading_step (sim);
}

/* Have the operator write another version.  */
static inline void
reading_write (struct reading_sim *sim)
{
  g_array_append_val (sim->acked, sim->now);
}

/* Have the operator write COUNT versions, GAP_USEC apart.  */
static inline void
reading_write_series (struct reading_sim *sim, guint count, gint64 gap_usec)
{
  guint k;

  for (k = 0; k < count; k++)
    {
      reading_write (sim);
      reading_run (sim, gap_usec);
    }
}

/* Have the store treat nodes FIRST to LAST as SERVICE says.  */
static inline void
reading_serve (struct reading_sim *sim, guint first, guint last,
               enum reading_service service)
{
  guint i;

  for (i = first; i <= last; i++)
    sim->nodes[i].service = service;
}

/* Return the node that holds the duty of SLOT, READING_NODES if none does.  */
static inline guint
reading_holder (struct reading_sim *sim, enum reading_slot slot)
{
  guint i;

  for (i = 0; i < READING_NODES; i++)
    if (sim->nodes[i].is_up
        && mesh_read_holds (&sim->nodes[i].mesh, slot, sim->now))
      return i;
  return READING_NODES;
}

/* Return how many nodes hold the duty of SLOT.  */
static inline guint
reading_holder_count (struct reading_sim *sim, enum reading_slot slot)
{
  guint count = 0;
  guint i;

  for (i = 0; i < READING_NODES; i++)
    count += sim->nodes[i].is_up
             && mesh_read_holds (&sim->nodes[i].mesh, slot, sim->now);
  return count;
}

/* Return a fleet that has read the first configuration and is calm.  */
static inline struct reading_sim *
reading_sim_new (void)
{
  struct reading_sim *sim = g_new0 (struct reading_sim, 1);
  guint i;

  sim->messages = g_array_new (FALSE, TRUE, sizeof (struct reading_message));
  sim->acked = g_array_new (FALSE, TRUE, sizeof (gint64));
  sim->fleet = g_array_new (FALSE, TRUE, sizeof (struct reading_record));
  sim->now = 100000 * MSEC;
  sim->store_delay_usec = STORE_DELAY_USEC;

  sim->next_record_at = sim->now;
  reading_write (sim);
  for (i = 0; i < READING_NODES; i++)
    reading_start (sim, i);
  reading_run (sim, 8000 * MSEC);
  return sim;
}

/* Free SIM.  */
static inline void
reading_sim_free (struct reading_sim *sim)
{
  guint i;

  for (i = 0; i < READING_NODES; i++)
    reading_kill (sim, i);
  g_array_free (sim->messages, TRUE);
  g_array_free (sim->acked, TRUE);
  g_array_free (sim->fleet, TRUE);
  g_free (sim);
}

#endif

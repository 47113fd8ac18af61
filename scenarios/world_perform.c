#include "scenarios/world.h"

#include "wire/wire_view.h"

#include <stdio.h>
#include <string.h>

/* What the cores want done, done on the fakes.  */

#define APPEND_USEC 4000  /* an append takes */
#define LOST_USEC 500000  /* after that an answer counts as lost */
#define REFUSED_USEC 2000 /* a refused connection is known */

/* Calls */

/* Call another node.  A call that has no answer by its deadline fails.  */
static void
do_call (struct world *world, guint n, const struct action_peer_call *action)
{
  struct handle h = table_add (&world->calls);
  struct sim_call *call = table_get (&world->calls, h);
  guint to = world_find_node (world, action->peer_incarnation);
  struct sim_event *sim_event;

  call->caller_node = n;
  call->caller_incarnation = world->nodes[n].incarnation;
  call->callee_node = to;
  call->callee_incarnation = action->peer_incarnation;
  call->serial = action->serial;
  sim_event = world_schedule (world, action->deadline, SIM_EVENT_CORE, n);
  sim_event->handle = h;
  sim_event->core_event.kind = EVENT_PEER_REPLY;
  sim_event->core_event.u.peer_reply.serial = action->serial;
  sim_event->core_event.u.peer_reply.peer_incarnation
      = action->peer_incarnation;
  sim_event->core_event.u.peer_reply.body.kind = 0;
  sim_event->core_event.u.peer_reply.body.code = ERR_TIMEOUT;
  if (to == world->node_count || !world->nodes[to].alive
      || !fake_net_is_connected (&world->net, n, to))
    return;
  sim_event
      = world_schedule (world, world->now + fake_net_draw_delay (&world->net),
                        SIM_EVENT_PEER_CALL, to);
  sim_event->handle = h;
  sim_event->core_event.kind = EVENT_PEER_CALL;
  sim_event->core_event.u.peer_call.link = h;
  sim_event->core_event.u.peer_call.xid = (guint32)action->serial;
  sim_event->core_event.u.peer_call.body = action->body;
}

/* A call reaches its node.  */
void
world_deliver_call (struct world *world, const struct sim_event *sim_event)
{
  if (table_get (&world->calls, sim_event->handle) != NULL)
    world_deliver (world, sim_event->node, &sim_event->core_event);
}

/* Send the reply to a call back, if it can pass.  */
static void
do_reply (struct world *world, guint n, const struct action_peer_reply *action)
{
  const struct sim_call *call = table_get (&world->calls, action->link);
  struct sim_event *sim_event;

  if (call == NULL
      || !fake_net_is_connected (&world->net, n, call->caller_node)
      || world->nodes[call->caller_node].incarnation
             != call->caller_incarnation)
    return;
  sim_event
      = world_schedule (world, world->now + fake_net_draw_delay (&world->net),
                        SIM_EVENT_CORE, call->caller_node);
  sim_event->core_event.kind = EVENT_PEER_REPLY;
  sim_event->core_event.u.peer_reply.serial = call->serial;
  sim_event->core_event.u.peer_reply.peer_incarnation
      = call->callee_incarnation;
  sim_event->core_event.u.peer_reply.body = action->body;
  if (action->body.kind == PEER_FETCH)
    sim_event->core_event.u.peer_reply.body.u.fetch.bytes
        = g_memdup2 (action->body.u.fetch.bytes, action->body.u.fetch.length);
  table_remove (&world->calls, action->link);
}

/* The log */

/* Append a record; the answer comes later, or counts as lost.  */
static void
do_append (struct world *world, guint n, const struct record *record)
{
  struct event event = { .kind = EVENT_APPENDED };
  gint64 takes = APPEND_USEC + world->log.delay_usec;

  event.u.appended.serial = record->serial;
  event.u.appended.code
      = fake_log_append (&world->log, record, &event.u.appended.offset);
  if (event.u.appended.code == ERR_INDETERMINATE)
    {
      event.u.appended.offset = 0;
      takes += LOST_USEC;
    }
  world_schedule (world, world->now + takes, SIM_EVENT_CORE, n)->core_event
      = event;
}

/* Requests */

/* Pass a request on to another node.  It ends as unknown if nothing is heard
   by its deadline, and as not run if the process is not there.  */
static void
do_forward (struct world *world, guint n, const struct action_forward *action)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, action->exchange);
  guint to = world_find_node (world, action->peer_incarnation);
  struct handle onward;
  struct sim_exchange *other;
  struct sim_event *sim_event;

  if (exchange == NULL)
    return;
  onward = table_add (&world->exchanges);
  exchange = table_get (&world->exchanges, action->exchange);
  exchange->forwarded_to = onward;
  other = table_get (&world->exchanges, onward);
  other->request = action->request;
  other->request.forwarded = TRUE;
  other->forwarded_from = action->exchange;
  other->submission = exchange->submission;
  other->node = to;
  other->node_incarnation = action->peer_incarnation;
  sim_event = world_schedule (world, action->request.deadline,
                              SIM_EVENT_ATTEMPT_ENDED, n);
  sim_event->handle = action->exchange;
  sim_event->core_event.u.request.exchange = onward;
  sim_event->outcome = OUTCOME_UNKNOWN;
  sim_event->reason = REASON_PEER_LOST;
  if (to == world->node_count || !world->nodes[to].alive)
    {
      table_remove (&world->exchanges, onward);
      sim_event = world_schedule (world, world->now + REFUSED_USEC,
                                  SIM_EVENT_ATTEMPT_ENDED, n);
      sim_event->handle = action->exchange;
      sim_event->core_event.u.request.exchange = onward;
      sim_event->outcome = OUTCOME_NOT_RUN;
      sim_event->reason = REASON_PEER_LOST;
      return;
    }
  if (!fake_net_is_connected (&world->net, n, to))
    {
      table_remove (&world->exchanges, onward);
      return;
    }
  world->nodes[to].exchange_count++;
  sim_event
      = world_schedule (world, world->now + fake_net_draw_delay (&world->net),
                        SIM_EVENT_CORE, to);
  sim_event->core_event.kind = EVENT_REQUEST;
  sim_event->core_event.u.request.exchange = onward;
  sim_event->core_event.u.request.request = other->request;
}

/* Print what a core notes.  */
static void
do_note (const struct world *world, guint n, const struct log_event *log_event)
{
  if (!world->verbose)
    return;
  printf ("%9.3f n%u %s key=%s slice=%u node=%" G_GUINT64_FORMAT
          " offset=%" G_GUINT64_FORMAT " code=%d amount=%" G_GINT64_FORMAT
          " %s\n",
          (double)world->now / G_USEC_PER_SEC, n + 1,
          log_event_name (log_event->id), log_event->key, log_event->slice,
          log_event->node, log_event->offset, log_event->code,
          log_event->amount, log_event->text);
}

/* Encode the view of node N for it.  */
static void
do_encode (struct world *world, guint n)
{
  const struct view *view = &world->nodes[n].core.view;
  GByteArray *bytes = view_encode (view);
  struct event event = { .kind = EVENT_SNAPSHOT_ENCODED };

  event.u.snapshot_encoded.snapshot_offset = view->applied_offset;
  if (bytes != NULL)
    {
      event.u.snapshot_encoded.bytes = bytes->data;
      event.u.snapshot_encoded.length = bytes->len;
    }
  world_deliver (world, n, &event);
  if (bytes != NULL)
    g_byte_array_unref (bytes);
}

/* Decode a snapshot for node N, which takes the view over.  */
static void
do_decode (struct world *world, guint n,
           const struct action_snapshot_decode *action)
{
  struct event event = { .kind = EVENT_SNAPSHOT_DECODED };
  struct view view;

  if (view_decode (&view, action->bytes, action->length) == ERR_NONE)
    event.u.snapshot.view = &view;
  world_deliver (world, n, &event);
  if (event.u.snapshot.view == NULL)
    view_clear (&view);
}

/* The node ends by itself.  One that was not asked to leave is started again
   by its host.  */
static void
do_exit (struct world *world, guint n)
{
  gboolean asked = world->nodes[n].draining;

  world_kill_node (world, n);
  if (asked)
    world->nodes[n].drained = TRUE;
  else
    world_start_node (world, n);
}

/* Do what the core of node N wants.  */
void
world_perform (struct world *world, guint n, const struct action *action)
{
  switch (action->kind)
    {
    case ACTION_APPEND:
      do_append (world, n, &action->u.append.record);
      break;
    case ACTION_PEER_CALL:
      do_call (world, n, &action->u.call);
      break;
    case ACTION_PEER_REPLY:
      do_reply (world, n, &action->u.reply);
      break;
    case ACTION_FORWARD:
      do_forward (world, n, &action->u.forward);
      break;
    case ACTION_RUN:
      world_start_run (world, n, &action->u.run);
      break;
    case ACTION_ANSWER:
      world_end_exchange (world, action);
      break;
    case ACTION_CANCEL:
      break;
    case ACTION_LOG_EVENT:
      do_note (world, n, &action->u.log_event);
      break;
    case ACTION_READ_LOG:
      if (!action->u.fetch.from_peer)
        world->nodes[n].next_offset = action->u.fetch.offset;
      break;
    case ACTION_SNAPSHOT_ENCODE:
      do_encode (world, n);
      break;
    case ACTION_SNAPSHOT_REPLY:
      break;
    case ACTION_SNAPSHOT_DECODE:
      do_decode (world, n, &action->u.snapshot_decode);
      break;
    case ACTION_PROBE_CONNECTIONS:
      break;
    case ACTION_STORE_APPEND:
    case ACTION_READ_TOPIC_ENDS:
    case ACTION_HEARTBEAT_ANSWER:
    case ACTION_REMOTE_APPEND:
    case ACTION_MESH_CALL:
    case ACTION_MESH_REPLY:
    case ACTION_MESH_FETCH_REPLY:
    case ACTION_APPEND_FOR_PEER:
      break;
    case ACTION_EXIT:
      do_exit (world, n);
      break;
    }
}

#include "scenarios/world.h"

#include "wire/wire_view.h"

#include <stdio.h>
#include <string.h>

/* Performing the actions of the cores on the fakes.  */

#define APPEND_USEC 4000        /* duration of an append */
#define LOST_ANSWER_USEC 500000 /* added before a lost answer is reported */
#define CONNECTION_REFUSED_USEC 2000 /* until a refusal is noticed */

/* Calls between nodes */

/* Call another node.  A call without a reply fails at its deadline.  */
static void
perform_call (struct world *world, guint n,
              const struct action_peer_call *action)
{
  struct handle h = table_add (&world->calls);
  struct sim_call *call = table_get (&world->calls, h);
  guint to = world_find_node (world, action->peer_incarnation);
  struct sim_event *scheduled;

  call->caller_node = n;
  call->caller_incarnation = world->nodes[n].incarnation;
  call->callee_node = to;
  call->callee_incarnation = action->peer_incarnation;
  call->serial = action->serial;
  scheduled = world_schedule (world, action->deadline, SIM_EVENT_CORE, n);
  scheduled->handle = h;
  scheduled->core_event.kind = EVENT_PEER_REPLY;
  scheduled->core_event.u.peer_reply.serial = action->serial;
  scheduled->core_event.u.peer_reply.peer_incarnation
      = action->peer_incarnation;
  scheduled->core_event.u.peer_reply.body.kind = 0;
  scheduled->core_event.u.peer_reply.body.code = ERR_TIMEOUT;
  if (to == world->node_count || !world->nodes[to].alive
      || !fake_net_is_connected (&world->net, n, to))
    return;
  scheduled
      = world_schedule (world, world->now + fake_net_draw_delay (&world->net),
                        SIM_EVENT_PEER_CALL, to);
  scheduled->handle = h;
  scheduled->core_event.kind = EVENT_PEER_CALL;
  scheduled->core_event.u.peer_call.link = h;
  scheduled->core_event.u.peer_call.xid = (guint32)action->serial;
  scheduled->core_event.u.peer_call.body = action->body;
}

/* Deliver a call to the called node, unless the call has ended.  */
void
world_deliver_call (struct world *world, const struct sim_event *scheduled)
{
  if (table_get (&world->calls, scheduled->handle) != NULL)
    world_deliver (world, scheduled->node, &scheduled->core_event);
}

/* Send the reply to a call back.  It is lost if the link is cut or the
   caller's process has ended.  */
static void
perform_reply (struct world *world, guint n,
               const struct action_peer_reply *action)
{
  const struct sim_call *call = table_get (&world->calls, action->link);
  struct sim_event *scheduled;

  if (call == NULL
      || !fake_net_is_connected (&world->net, n, call->caller_node)
      || world->nodes[call->caller_node].incarnation
             != call->caller_incarnation)
    return;
  scheduled
      = world_schedule (world, world->now + fake_net_draw_delay (&world->net),
                        SIM_EVENT_CORE, call->caller_node);
  scheduled->core_event.kind = EVENT_PEER_REPLY;
  scheduled->core_event.u.peer_reply.serial = call->serial;
  scheduled->core_event.u.peer_reply.peer_incarnation
      = call->callee_incarnation;
  scheduled->core_event.u.peer_reply.body = action->body;
  if (action->body.kind == PEER_FETCH)
    scheduled->core_event.u.peer_reply.body.u.fetch.bytes
        = g_memdup2 (action->body.u.fetch.bytes, action->body.u.fetch.length);
  table_remove (&world->calls, action->link);
}

/* The log */

/* Append a record and schedule the answer.  A lost answer is reported as
   indeterminate after a timeout.  */
static void
perform_append (struct world *world, guint n, const struct record *record)
{
  struct event event = { .kind = EVENT_APPENDED };
  gint64 delay_usec = APPEND_USEC + world->log.delay_usec;

  event.u.appended.serial = record->serial;
  event.u.appended.code
      = fake_log_append (&world->log, record, &event.u.appended.offset);
  if (event.u.appended.code == ERR_INDETERMINATE)
    {
      event.u.appended.offset = 0;
      delay_usec += LOST_ANSWER_USEC;
    }
  world_schedule (world, world->now + delay_usec, SIM_EVENT_CORE, n)
      ->core_event
      = event;
}

/* Requests */

/* Forward a request to another node.  The attempt ends as unknown if no answer
   arrives by the deadline, and as not run if the target process is not
   running.  */
static void
perform_forward (struct world *world, guint n,
                 const struct action_forward *action)
{
  struct sim_exchange *exchange
      = table_get (&world->exchanges, action->exchange);
  guint to = world_find_node (world, action->peer_incarnation);
  struct handle forwarded_to;
  struct sim_exchange *forwarded;
  struct sim_event *scheduled;

  if (exchange == NULL)
    return;
  forwarded_to = table_add (&world->exchanges);
  exchange = table_get (&world->exchanges, action->exchange);
  exchange->forwarded_to = forwarded_to;
  forwarded = table_get (&world->exchanges, forwarded_to);
  forwarded->request = action->request;
  forwarded->request.forwarded = TRUE;
  forwarded->forwarded_from = action->exchange;
  forwarded->submission = exchange->submission;
  forwarded->node = to;
  forwarded->node_incarnation = action->peer_incarnation;
  scheduled = world_schedule (world, action->request.deadline,
                              SIM_EVENT_ATTEMPT_ENDED, n);
  scheduled->handle = action->exchange;
  scheduled->core_event.u.request.exchange = forwarded_to;
  scheduled->outcome = OUTCOME_UNKNOWN;
  scheduled->reason = REASON_PEER_LOST;
  if (to == world->node_count || !world->nodes[to].alive)
    {
      table_remove (&world->exchanges, forwarded_to);
      scheduled = world_schedule (world, world->now + CONNECTION_REFUSED_USEC,
                                  SIM_EVENT_ATTEMPT_ENDED, n);
      scheduled->handle = action->exchange;
      scheduled->core_event.u.request.exchange = forwarded_to;
      scheduled->outcome = OUTCOME_NOT_RUN;
      scheduled->reason = REASON_PEER_LOST;
      return;
    }
  if (!fake_net_is_connected (&world->net, n, to))
    {
      table_remove (&world->exchanges, forwarded_to);
      return;
    }
  world->nodes[to].exchange_count++;
  scheduled
      = world_schedule (world, world->now + fake_net_draw_delay (&world->net),
                        SIM_EVENT_CORE, to);
  scheduled->core_event.kind = EVENT_REQUEST;
  scheduled->core_event.u.request.exchange = forwarded_to;
  scheduled->core_event.u.request.request = forwarded->request;
}

/* Print a log event of node N if WORLD is verbose.  */
static void
print_log_event (const struct world *world, guint n,
                 const struct log_event *log_event)
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

/* Encode the view of node N as a snapshot and deliver it to the node's
   core.  */
static void
encode_snapshot (struct world *world, guint n)
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

/* Decode a snapshot for node N, whose core takes over the view.  */
static void
decode_snapshot (struct world *world, guint n,
                 const struct action_snapshot_decode *action)
{
  struct event event = { .kind = EVENT_SNAPSHOT_DECODED };
  struct view view;

  if (view_decode (&view, action->bytes, action->length) == ERR_NONE)
    event.u.snapshot_decoded.view = &view;
  world_deliver (world, n, &event);
  if (event.u.snapshot_decoded.view == NULL)
    view_clear (&view);
}

/* End the process of node N at its own request.  A node that was not asked to
   drain is started again by its host.  */
static void
perform_exit (struct world *world, guint n)
{
  gboolean was_draining = world->nodes[n].draining;

  world_kill_node (world, n);
  if (was_draining)
    world->nodes[n].drained = TRUE;
  else
    world_start_node (world, n);
}

/* Perform ACTION for node N.  */
void
world_perform (struct world *world, guint n, const struct action *action)
{
  switch (action->kind)
    {
    case ACTION_APPEND:
      perform_append (world, n, &action->u.append.record);
      break;
    case ACTION_PEER_CALL:
      perform_call (world, n, &action->u.peer_call);
      break;
    case ACTION_PEER_REPLY:
      perform_reply (world, n, &action->u.peer_reply);
      break;
    case ACTION_FORWARD:
      perform_forward (world, n, &action->u.forward);
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
      print_log_event (world, n, &action->u.log_event);
      break;
    case ACTION_READ_LOG:
      if (!action->u.read_log.from_peer)
        world->nodes[n].next_offset = action->u.read_log.offset;
      break;
    case ACTION_SNAPSHOT_ENCODE:
      encode_snapshot (world, n);
      break;
    case ACTION_SNAPSHOT_REPLY:
      break;
    case ACTION_SNAPSHOT_DECODE:
      decode_snapshot (world, n, &action->u.snapshot_decode);
      break;
    case ACTION_DROP_CONNECTIONS:
      break;
    case ACTION_STORE_APPEND:
    case ACTION_READ_TOPIC:
    case ACTION_HEARTBEAT_ANSWER:
    case ACTION_REMOTE_APPEND:
    case ACTION_MESH_CALL:
    case ACTION_MESH_REPLY:
    case ACTION_MESH_FETCH_REPLY:
    case ACTION_APPEND_FOR_PEER:
    case ACTION_KEY_ORDER:
      break;
    case ACTION_EXIT:
      perform_exit (world, n);
      break;
    }
}

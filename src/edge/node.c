#include "edge/node.h"
#include "types/clock.h"

#include "decide/timing.h"
#include "edge/journal.h"
#include "wire/wire_peer.h"

#include <string.h>

/* Events */

/* Pass EVENT to the core and perform the resulting actions.  */
static void
handle_one (struct node *node, const struct event *event)
{
  struct actions actions;
  guint i;

  actions_init (&actions);
  core_step (&node->core, event, clock_usec (), &actions);
  for (i = 0; i < actions.items->len; i++)
    node_perform (node, actions_at (&actions, i));
  actions_clear (&actions);
}

/* Pass EVENT to the core.  An event that arises while another is being handled
   is copied and deferred until that one is done; such events must not contain
   pointers.  */
void
node_handle_event (struct node *node, const struct event *event)
{
  struct event *deferred;

  if (event->kind == EVENT_DRAIN)
    node->proxy.leaving = TRUE;
  if (node->is_processing)
    {
      g_queue_push_tail (node->deferred_events,
                         g_memdup2 (event, sizeof (struct event)));
      return;
    }
  node->is_processing = TRUE;
  handle_one (node, event);
  for (deferred = g_queue_pop_head (node->deferred_events); deferred != NULL;
       deferred = g_queue_pop_head (node->deferred_events))
    {
      handle_one (node, deferred);
      g_free (deferred);
    }
  node->is_processing = FALSE;
}

/* Handle an event of the log client: keep the records for other nodes, pass
   the event to the core and start the next read.  */
static void
on_log_client_event (const struct event *event, gpointer data)
{
  struct node *node = data;

  if (event->kind == EVENT_RECORDS)
    node->proxy.counters.records_read += event->u.records.count;
  if (event->kind == EVENT_RECORDS)
    tail_store_add (&node->recent_records, node->log.read_body->data,
                    node->log.read_body->len);
  node_handle_event (node, event);
  log_client_step (&node->log, clock_usec ());
}

/* Pass EVENT_TICK to the decision logic.  */
static void
send_tick (struct node *node, gboolean input_may_follow)
{
  struct event event = { .kind = EVENT_TICK };

  event.u.tick.pending_exchanges = proxy_pending_count (&node->proxy);
  event.u.tick.input_may_follow = input_may_follow;
  node_handle_event (node, &event);
}

/* Send a tick that no input follows.  */
static void
on_quiet_turn (gpointer data)
{
  send_tick (data, FALSE);
}

/* Run the periodic work: request deadlines, reads of the log, the load poll of
   the server, and EVENT_TICK.  */
static gboolean
on_tick (gpointer data)
{
  struct node *node = data;
  gint64 now = clock_usec ();

  proxy_expire (&node->proxy, now);
  log_client_step (&node->log, now);
  server_poll_step (node, now);
  peer_reader_step (node, now);
  send_tick (node, TRUE);
  if (node->proxy.leaving)
    quiet_turn_request (&node->quiet_turn, on_quiet_turn, node);
  return G_SOURCE_CONTINUE;
}

/* Other nodes */

/* Pass a control call of another node to the core.  */
static void
handle_peer_call (struct node *node, const struct link_event *link_event)
{
  struct event event = { .kind = EVENT_PEER_CALL };
  struct peer_call *body = &event.u.peer_call.body;

  if (wire_decode (wire_peer_call, body, link_event->bytes, link_event->length)
      != ERR_NONE)
    {
      links_reply (&node->proxy.links, link_event->link, link_event->xid,
                   ERR_MALFORMED, NULL, NULL);
      return;
    }
  event.u.peer_call.link = link_event->link;
  event.u.peer_call.xid = link_event->xid;
  node_handle_event (node, &event);
}

/* Pass the reply to a control call, or the failure of the call, to the
   core.  */
static void
handle_peer_reply (struct node *node, const struct link_event *link_event)
{
  struct event event = { .kind = EVENT_PEER_REPLY };
  struct peer_reply *body = &event.u.peer_reply.body;

  event.u.peer_reply.serial = link_event->tag.serial;
  event.u.peer_reply.peer_incarnation = link_event->tag.user_value;
  body->code = link_event->code;
  if (link_event->code == ERR_NONE
      && wire_decode (wire_peer_reply, body, link_event->bytes,
                      link_event->length)
             != ERR_NONE)
    {
      memset (body, 0, sizeof *body);
      body->code = ERR_MALFORMED;
    }
  node_handle_event (node, &event);
  if (body->kind == PEER_FETCH)
    g_free (body->u.fetch.bytes);
}

/* Handle a call or reply of another node that does not concern a request.  */
static void
on_link_event (const struct link_event *event, gpointer data)
{
  struct node *node = data;
  gboolean is_call = event->kind == LINK_CALL;

  switch (event->procedure)
    {
    case RPC_PEER:
      if (is_call)
        handle_peer_call (node, event);
      else
        handle_peer_reply (node, event);
      break;
    case RPC_READ_LOG:
      if (is_call)
        peer_reader_on_call (node, event);
      else
        peer_reader_on_reply (node, event);
      break;
    default:
      links_reply (&node->proxy.links, event->link, event->xid, ERR_MALFORMED,
                   NULL, NULL);
      break;
    }
}

/* Handle an event of a request.  If the server failed the attempt, its load is
   polled immediately to detect that it is down.  */
static void
on_proxy_event (const struct event *event, gpointer data)
{
  struct node *node = data;

  if (event->kind == EVENT_ATTEMPT_ENDED
      && (event->u.attempt_ended.reason == REASON_SERVER_DOWN
          || event->u.attempt_ended.reason == REASON_TRUNCATED))
    server_poll_soon (node);
  node_handle_event (node, event);
}

/* Setup and teardown */

/* Start a node with SETTINGS: listen for callers and peers and start to read
   the log.  Return the error of listening.  */
enum err
node_init (struct node *node, const struct settings *settings)
{
  const struct proxy_owner owner = { on_proxy_event, on_link_event, node };
  enum err code;

  memset (node, 0, sizeof *node);
  node->settings = *settings;
  node->deferred_events = g_queue_new ();
  node->loop = g_main_loop_new (NULL, FALSE);
  core_init (&node->core, &settings->core);
  tail_store_init (&node->recent_records);
  code = proxy_init (&node->proxy, settings->core.peer_address, &owner);
  node->proxy.self_incarnation = settings->core.incarnation;
  node->proxy.dialect.u.own.config = &node->core.view.config;
  node->proxy.dialect.u.own.lease_until = &node->core.lease.expires_at;
  log_client_init (&node->log, &node->proxy.http, settings->log_address,
                   settings->log_stream, on_log_client_event, node);
  if (code == ERR_NONE)
    code = front_init (node);
  if (code != ERR_NONE)
    return code;
  node->tick_timer
      = g_timeout_add (TICK_INTERVAL_USEC / USEC_PER_MSEC, on_tick, node);
  log_client_step (&node->log, clock_usec ());
  return ERR_NONE;
}

/* Stop a node immediately and release its resources.  */
void
node_clear (struct node *node)
{
  node->is_processing = TRUE;
  if (node->tick_timer != 0)
    g_source_remove (node->tick_timer);
  quiet_turn_cancel (&node->quiet_turn);
  log_client_clear (&node->log);
  proxy_clear (&node->proxy);
  core_clear (&node->core);
  tail_store_clear (&node->recent_records);
  if (node->peer_snapshot != NULL)
    g_byte_array_unref (node->peer_snapshot);
  if (node->snapshot != NULL)
    g_byte_array_unref (node->snapshot);
  g_queue_free_full (node->deferred_events, g_free);
  g_main_loop_unref (node->loop);
}

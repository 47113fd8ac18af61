#include "edge/node.h"
#include "types/clock.h"

#include "edge/journal.h"
#include "wire/wire_peer.h"

/* Make a control call to another node.  */
static void
call_peer (struct node *node, const struct action_peer_call *action)
{
  struct link_tag tag
      = { .serial = action->serial, .user_value = action->peer_incarnation };

  node->proxy.counters.control_calls++;
  links_call (&node->proxy.links, action->address, RPC_PEER, wire_peer_call,
              &action->body, &tag, action->deadline);
}

/* Retire the connection to the node with PEER_INCARNATION, or close the idle
   ones to the local server if that is 0.  */
static void
drop_connections (struct node *node, guint64 peer_incarnation)
{
  const struct view *view = &node->core.view;
  const struct view_node *peer
      = view_node_at (view, view_find_node (view, peer_incarnation));

  if (peer_incarnation == 0)
    http_drop_idle (&node->proxy.http, node->proxy.server_address);
  else if (peer != NULL)
    links_retire (&node->proxy.links, peer->join.peer_address, clock_usec ());
}

/* Perform an action of the core.  The actions of a mesh node are ignored.  */
void
node_perform (struct node *node, const struct action *action)
{
  switch (action->kind)
    {
    case ACTION_APPEND:
      node->proxy.counters.appends_sent++;
      log_client_append (&node->log, &action->u.append.record, clock_usec ());
      break;
    case ACTION_PEER_CALL:
      call_peer (node, &action->u.peer_call);
      break;
    case ACTION_PEER_REPLY:
      links_reply (&node->proxy.links, action->u.peer_reply.link,
                   action->u.peer_reply.xid, ERR_NONE, wire_peer_reply,
                   &action->u.peer_reply.body);
      break;
    case ACTION_FORWARD:
      node->proxy.counters.forwarded_attempts++;
      exchange_forward (&node->proxy, &action->u.forward);
      break;
    case ACTION_RUN:
      node->proxy.counters.server_runs++;
      exchange_run (&node->proxy, &action->u.run);
      break;
    case ACTION_ANSWER:
      exchange_answer (&node->proxy, &action->u.answer);
      break;
    case ACTION_CANCEL:
      exchange_cancel (&node->proxy, action->u.cancel.exchange);
      break;
    case ACTION_LOG_EVENT:
      if (action->u.log_event.id == LOG_EVENT_ROUTE_RETRY)
        node->proxy.counters.retried_attempts++;
      journal_log_event (&action->u.log_event);
      break;
    case ACTION_READ_LOG:
      peer_reader_set_source (node, &action->u.read_log);
      break;
    case ACTION_SNAPSHOT_ENCODE:
      node_encode_snapshot (node);
      break;
    case ACTION_SNAPSHOT_REPLY:
      node_reply_snapshot (node, &action->u.snapshot_reply);
      break;
    case ACTION_SNAPSHOT_DECODE:
      node_decode_snapshot (node, action->u.snapshot_decode.bytes,
                            action->u.snapshot_decode.length);
      break;
    case ACTION_DROP_CONNECTIONS:
      drop_connections (node, action->u.drop_connections.peer_incarnation);
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
      node->should_restart = action->u.exit.restart;
      g_main_loop_quit (node->loop);
      break;
    }
}

#include "edge/mesh_node.h"

#include "types/clock.h"
#include "wire/wire_fleet.h"
#include "wire/wire_mesh.h"

#include <string.h>

/* Appends */

/* Where the result of an append goes.  */
struct append_job
{
  struct mesh_node *node; /* node that made the append */
  guint64 serial;     /* serial of this node's append, 0: for another node */
  struct handle link; /* connection of the other node */
  guint32 xid;        /* RPC transaction id of the other node's call */
};

/* Report the result of an append to the decision logic, or to the other node
   that requested the append.  */
static void
on_appended (const struct store_result *result, gpointer data)
{
  struct append_job *job = data;
  struct event event = { .kind = EVENT_STORE_APPENDED };
  struct mesh_reply reply = { .kind = MESH_APPEND, .code = result->code };

  reply.u.append.offset = result->offset;
  event.u.store_appended.serial = job->serial;
  event.u.store_appended.code = result->code;
  event.u.store_appended.offset = result->offset;
  event.u.store_appended.topic_end = result->end_offset;
  if (job->serial != 0)
    mesh_node_handle_event (job->node, &event);
  else
    links_reply (&job->node->proxy.links, job->link, job->xid, ERR_NONE,
                 wire_mesh_reply, &reply);
  g_free (job);
}

/* Encode RECORD, a tombstone as no bytes.  Return NULL if RECORD is too large
   for the store; it must not be mistaken for a tombstone.  */
static GByteArray *
encode_record (const struct fleet_record *record)
{
  return record->kind == FLEET_TOMBSTONE ? g_byte_array_new ()
                                         : wire_fleet_encode (record);
}

/* Report to the decision logic that the append SERIAL was not made, since its
   record is too large for the store.  */
static void
report_too_large (struct mesh_node *node, guint64 serial)
{
  struct event event = { .kind = EVENT_STORE_APPENDED };

  node->oversize_records++;
  event.u.store_appended.serial = serial;
  event.u.store_appended.code = ERR_TOO_LARGE;
  mesh_node_handle_event (node, &event);
}

/* Append a record of this node to the fleet topic.  */
static void
append_own (struct mesh_node *node, const struct action_store_append *action)
{
  GByteArray *bytes = encode_record (&action->record);
  struct append_job *job;

  if (bytes == NULL)
    {
      report_too_large (node, action->serial);
      return;
    }
  job = g_new0 (struct append_job, 1);
  job->node = node;
  job->serial = action->serial;
  node->proxy.counters.appends_sent++;
  store_append (&node->store, STORE_TOPIC_FLEET, action->expected_end,
                action->record.key, bytes, on_appended, job);
  g_byte_array_unref (bytes);
}

/* Append a record to the fleet topic for another node, which gets the result
   as reply.  */
static void
append_for_peer (struct mesh_node *node,
                 const struct action_append_for_peer *action)
{
  struct append_job *job = g_new0 (struct append_job, 1);
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, action->append.bytes, action->append.length);
  job->node = node;
  job->link = action->link;
  job->xid = action->xid;
  store_append (&node->store, STORE_TOPIC_FLEET, action->append.expected_end,
                action->append.key, bytes, on_appended, job);
  g_byte_array_unref (bytes);
}

/* Other nodes */

/* Make a call to another node.  */
static void
call_node (struct mesh_node *node, const struct action_mesh_call *action)
{
  struct link_tag tag = { .serial = action->serial,
                          .user_value = action->call.kind,
                          .user_handle = action->member };

  node->proxy.counters.control_calls++;
  links_call (&node->proxy.links, action->address, RPC_MESH, wire_mesh_call,
              &action->call, &tag, action->deadline);
}

/* Ask another node to append a record to the store.  */
static void
relay_append (struct mesh_node *node,
              const struct action_remote_append *action)
{
  struct link_tag tag = { .serial = action->serial,
                          .user_value = MESH_APPEND,
                          .user_handle = action->member };
  struct mesh_call call = { .kind = MESH_APPEND };
  GByteArray *bytes = encode_record (&action->record);

  if (bytes == NULL)
    {
      report_too_large (node, action->serial);
      return;
    }
  call.u.append.expected_end = action->expected_end;
  g_strlcpy (call.u.append.key, action->record.key, sizeof call.u.append.key);
  call.u.append.bytes = bytes->data;
  call.u.append.length = bytes->len;
  links_call (&node->proxy.links, action->address, RPC_MESH, wire_mesh_call,
              &call, &tag, action->deadline);
  g_byte_array_unref (bytes);
}

/* Reply to a fetch with the fleet records from the caller's applied offset on,
   and with the configuration if the caller's version is older.  */
static void
reply_fetch (struct mesh_node *node,
             const struct action_mesh_fetch_reply *action)
{
  struct mesh_reply reply = { .kind = MESH_FETCH };
  struct mesh_fetch_reply *fetch = &reply.u.fetch;
  GArray *entries
      = fleet_state_since (&node->mesh.fleet, action->fetch.applied_offset,
                           action->fetch.accepts_patches);
  GByteArray *bytes = wire_fleet_encode_entries (entries);
  guint i;

  fetch->next_offset = node->mesh.fleet.applied_offset;
  fetch->records = bytes->data;
  fetch->records_length = bytes->len;
  if (!node->config_skipped)
    fetch->config_next_offset = topic_reader_end (&node->config_reader);
  if (node->mesh.routing != NULL
      && node->mesh.routing->version > action->fetch.config_version)
    mesh_node_fill_config (node, fetch, action->fetch.accepts_deflate);
  links_reply (&node->proxy.links, action->link, action->xid, ERR_NONE,
               wire_mesh_reply, &reply);
  for (i = 0; i < entries->len; i++)
    fleet_record_clear (
        &g_array_index (entries, struct fleet_entry, i).record);
  g_array_free (entries, TRUE);
  g_byte_array_unref (bytes);
}

/* Retire the connections to the peer that ACTION names, or close the idle ones
   to the local server if it names none.  */
static void
drop_connections (struct mesh_node *node,
                  const struct action_drop_connections *action)
{
  struct handle h = table_next (&node->mesh.fleet.members, HANDLE_NONE);

  if (action->peer_incarnation == 0)
    http_drop_idle (&node->proxy.http, node->proxy.server_address);
  for (; handle_is_set (h); h = table_next (&node->mesh.fleet.members, h))
    {
      const struct fleet_member *member
          = fleet_state_member_at (&node->mesh.fleet, h);
      if (action->peer_incarnation != 0
          && member->incarnation == action->peer_incarnation)
        links_retire (&node->proxy.links, member->peer_address, clock_usec ());
    }
}

/* Perform an action of the decision logic.  The actions of a node
   outside a mesh are ignored.  */
void
mesh_node_perform (struct mesh_node *node, const struct action *action)
{
  switch (action->kind)
    {
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
      mesh_node_log (node, &action->u.log_event);
      break;
    case ACTION_STORE_APPEND:
      append_own (node, &action->u.store_append);
      break;
    case ACTION_READ_TOPIC:
      topic_reader_confirm (action->u.read_topic.topic == MESH_TOPIC_FLEET
                                ? &node->fleet_reader
                                : &node->config_reader,
                            action->u.read_topic.newest_only);
      break;
    case ACTION_HEARTBEAT_ANSWER:
      control_api_answer (
          &node->control_api,
          (struct handle){ action->u.heartbeat_answer.call_id },
          action->u.heartbeat_answer.code, action->u.heartbeat_answer.answer);
      break;
    case ACTION_REMOTE_APPEND:
      relay_append (node, &action->u.remote_append);
      break;
    case ACTION_MESH_CALL:
      call_node (node, &action->u.mesh_call);
      break;
    case ACTION_MESH_REPLY:
      links_reply (&node->proxy.links, action->u.mesh_reply.link,
                   action->u.mesh_reply.xid, ERR_NONE, wire_mesh_reply,
                   &action->u.mesh_reply.reply);
      break;
    case ACTION_MESH_FETCH_REPLY:
      reply_fetch (node, &action->u.mesh_fetch_reply);
      break;
    case ACTION_APPEND_FOR_PEER:
      append_for_peer (node, &action->u.append_for_peer);
      break;
    case ACTION_KEY_ORDER:
      key_orders_send (&node->key_orders, action->u.key_order.serial,
                       &action->u.key_order.order,
                       action->u.key_order.deadline);
      break;
    case ACTION_DROP_CONNECTIONS:
      drop_connections (node, &action->u.drop_connections);
      break;
    case ACTION_EXIT:
      g_main_loop_quit (node->loop);
      break;
    case ACTION_APPEND:
    case ACTION_PEER_CALL:
    case ACTION_PEER_REPLY:
    case ACTION_READ_LOG:
    case ACTION_SNAPSHOT_ENCODE:
    case ACTION_SNAPSHOT_DECODE:
    case ACTION_SNAPSHOT_REPLY:
      break;
    }
}

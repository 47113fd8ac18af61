#include "edge/mesh_node.h"

#include "types/clock.h"
#include "wire/wire_fleet.h"
#include "wire/wire_mesh.h"

#include <string.h>

/* Calls */

/* Pass a call of another node to the decision logic.  */
static void
handle_call (struct mesh_node *node, const struct link_event *link_event)
{
  struct event event = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { 0 };

  if (wire_decode (wire_mesh_call, &call, link_event->bytes,
                   link_event->length)
      != ERR_NONE)
    {
      links_reply (&node->proxy.links, link_event->link, link_event->xid,
                   ERR_MALFORMED, NULL, NULL);
      return;
    }
  event.u.mesh_call.link = link_event->link;
  event.u.mesh_call.xid = link_event->xid;
  event.u.mesh_call.call = &call;
  mesh_node_handle_event (node, &event);
  xdr_free ((xdrproc_t)wire_mesh_call, (char *)&call);
}

/* Replies */

/* Apply the configuration in FETCH, a reply of another node, and read on from
   where that node has read to, but not beyond what the evacuations known here
   take into account.  A configuration that is malformed, or of
   another version than the reply says, is skipped and logged.  */
static void
handle_config (struct mesh_node *node, const struct mesh_fetch_reply *fetch)
{
  struct log_event log_event = { .id = LOG_EVENT_MESH_BAD_INPUT };

  if (mesh_node_take_config (node, fetch))
    {
      topic_reader_advance (&node->config_reader,
                            MIN (fetch->config_next_offset,
                                 node->mesh.evacuations.zones.offset));
      return;
    }
  g_snprintf (log_event.detail, sizeof log_event.detail,
              "what=fetched-configuration version=%" G_GUINT64_FORMAT
              " outcome=skipped",
              fetch->config_version);
  mesh_node_log (node, &log_event);
}

/* Apply the fleet records and the configuration of a fetch reply.  */
static void
handle_fetched (struct mesh_node *node, const struct mesh_fetch_reply *fetch)
{
  GArray *entries
      = wire_fleet_decode_entries (fetch->records, fetch->records_length);
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  guint i;

  if (entries != NULL)
    {
      event.u.fleet_records.items = (const void *)entries->data;
      event.u.fleet_records.count = entries->len;
      event.u.fleet_records.next_offset = fetch->next_offset;
      event.u.fleet_records.complete = fetch->next_offset > 0;
      mesh_node_handle_event (node, &event);
      topic_reader_advance (&node->fleet_reader,
                            node->mesh.fleet.applied_offset);
      for (i = 0; i < entries->len; i++)
        fleet_record_clear (
            &g_array_index (entries, struct fleet_entry, i).record);
      g_array_free (entries, TRUE);
    }
  if (fetch->config_version > 0)
    handle_config (node, fetch);
}

/* Return the kind of the call that EVENT replies to, from its tag: a failed
   call has no reply that could name the kind.  */
static enum mesh_msg_kind
call_kind (const struct link_event *event)
{
  return (enum mesh_msg_kind)event->tag.user_value;
}

/* Pass the reply of another node, or the failure of the call, to the decision
   logic.  A call that may have had an effect fails with
   ERR_INDETERMINATE.  */
static void
handle_reply (struct mesh_node *node, const struct link_event *link_event)
{
  struct event event = { .kind = EVENT_MESH_REPLY };
  struct mesh_reply reply = { 0 };
  gint64 received_at = clock_usec ();

  if (link_event->code != ERR_NONE
      || wire_decode (wire_mesh_reply, &reply, link_event->bytes,
                      link_event->length)
             != ERR_NONE)
    {
      memset (&reply, 0, sizeof reply);
      reply.kind = call_kind (link_event);
      reply.code
          = link_event->code == ERR_REFUSED ? ERR_REFUSED : ERR_INDETERMINATE;
    }
  if (reply.kind == MESH_FETCH && reply.code == ERR_NONE)
    handle_fetched (node, &reply.u.fetch);
  event.u.mesh_reply.serial = link_event->tag.serial;
  event.u.mesh_reply.member = link_event->tag.user_handle;
  event.u.mesh_reply.reply = &reply;
  event.u.mesh_reply.received_at = received_at;
  mesh_node_handle_event (node, &event);
  xdr_free ((xdrproc_t)wire_mesh_reply, (char *)&reply);
}

/* Handle a call or reply of another node that does not concern a request.  */
void
mesh_node_on_link (const struct link_event *event, gpointer data)
{
  struct mesh_node *node = data;

  if (event->procedure != RPC_MESH)
    {
      if (event->kind == LINK_CALL)
        links_reply (&node->proxy.links, event->link, event->xid,
                     ERR_MALFORMED, NULL, NULL);
      return;
    }
  if (event->kind == LINK_CALL)
    handle_call (node, event);
  else
    handle_reply (node, event);
}

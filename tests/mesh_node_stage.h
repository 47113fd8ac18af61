#ifndef TESTS_MESH_NODE_STAGE_H
#define TESTS_MESH_NODE_STAGE_H

#include "edge/mesh_node.h"
#include "platform/header_names.h"
#include "tests/suite.h"
#include "types/clock.h"
#include "wire/wire_forward.h"

#include <string.h>

/* A node of a mesh on its main loop, between real connections.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)3000000) /* time limit of a test */
#define CASE_MSEC 3000u
#define GRACE_USEC ((gint64)6000000)     /* time from SIGTERM to the kill */
#define QUIET_USEC ((gint64)2700000)     /* after SIGTERM: nothing is due */
#define KILL_NEAR_USEC ((gint64)5600000) /* after SIGTERM: the end is due */
#define OTHER_INCARNATION 77u
#define CALLER_REQUEST                                                        \
  "GET /other/x HTTP/1.1\r\nHost: h\r\n" NAME_ID ": 1\r\n" NAME_DEADLINE      \
  ": 2000\r\n\r\n"
/* A request that the other node was sent and has not answered.  */
struct held_forward
{
  struct handle link; /* connection that it came on */
  guint32 xid;        /* xid of the RPC_FORWARD_REQUEST */
  char target[32];    /* path and query */
};

/* A node, and another one that runs the requests sent to it.  */
struct stage
{
  struct mesh_node node;              /* the node */
  struct links other;                 /* connections of the other node */
  guint runs;                         /* requests that the other node ran */
  char last_service[NAME_SIZE];       /* service of the last of them */
  char last_id[REQUEST_ID_SIZE];      /* its id */
  gboolean holds_requests;            /* the other node answers none by
                                         itself */
  GArray *held;                       /* struct held_forward: what it got and
                                         did not answer */
  guint whole_bodies;                 /* request bodies that it got whole */
  guint cancels;                      /* requests that were cancelled there */
  guint replies;                      /* replies to the other node */
  struct forward_response_head reply; /* head of the last one */
};

/* Keep a request that the node forwarded, to be answered by the test.  */
static inline void
hold_forward (struct stage *stage, const struct link_event *event)
{
  struct forward_request forward = { 0 };
  struct held_forward held = { .link = event->link, .xid = event->xid };

  if (wire_decode (wire_forward_request, &forward, event->bytes, event->length)
      == ERR_NONE)
    g_strlcpy (held.target, forward.target, sizeof held.target);
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&forward);
  g_array_append_val (stage->held, held);
}

/* Note the service and the id of a request that the node forwarded.  */
static inline void
note_forward (struct stage *stage, const struct link_event *event)
{
  struct forward_request forward = { 0 };

  if (wire_decode (wire_forward_request, &forward, event->bytes, event->length)
      == ERR_NONE)
    {
      g_strlcpy (stage->last_service, forward.request.service,
                 sizeof stage->last_service);
      g_strlcpy (stage->last_id, forward.request.id, sizeof stage->last_id);
    }
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&forward);
}

/* Answer a request that the node forwarded.  */
static inline void
answer_forward (struct stage *stage, const struct link_event *event)
{
  struct forward_response_head head = { .outcome = OUTCOME_DONE,
                                        .load.slots = 4,
                                        .http_status = 200,
                                        .headers = (char *)"",
                                        .body_length = 2,
                                        .chunk_length = 2,
                                        .chunk = (guint8 *)"ok",
                                        .is_last_chunk = TRUE };

  stage->runs++;
  note_forward (stage, event);
  if (stage->holds_requests)
    {
      hold_forward (stage, event);
      return;
    }
  links_reply (&stage->other, event->link, event->xid, ERR_NONE,
               wire_forward_response_head, &head);
}

/* Return whether EVENT brings the end of a request body.  */
static inline gboolean
ends_body (const struct link_event *event)
{
  struct forward_request forward = { 0 };
  struct forward_request_chunk chunk = { 0 };
  gboolean ends = FALSE;

  if (event->procedure == RPC_FORWARD_REQUEST)
    {
      ends = wire_decode (wire_forward_request, &forward, event->bytes,
                          event->length)
                 == ERR_NONE
             && forward.is_last_chunk;
      xdr_free ((xdrproc_t)wire_forward_request, (char *)&forward);
    }
  else if (event->procedure == RPC_FORWARD_CHUNK)
    {
      ends = wire_decode (wire_forward_request_chunk, &chunk, event->bytes,
                          event->length)
                 == ERR_NONE
             && chunk.is_last_chunk;
      xdr_free ((xdrproc_t)wire_forward_request_chunk, (char *)&chunk);
    }
  return ends;
}

/* Handle a call to the other node.  */
static inline void
on_other_call (struct stage *stage, const struct link_event *event)
{
  stage->whole_bodies += ends_body (event);
  stage->cancels += event->procedure == RPC_CANCEL;
  if (event->procedure == RPC_FORWARD_REQUEST)
    answer_forward (stage, event);
  else if (event->procedure == RPC_FORWARD_CHUNK)
    links_reply (&stage->other, event->link, event->xid, ERR_NONE, NULL, NULL);
}

/* Handle an event of the other node's connections.  */
static inline void
on_other (const struct link_event *event, gpointer data)
{
  struct stage *stage = data;

  if (event->kind == LINK_CALL)
    on_other_call (stage, event);
  if (event->kind != LINK_REPLY || event->code != ERR_NONE)
    return;
  stage->replies++;
  if (event->procedure == RPC_FORWARD_REQUEST)
    wire_decode (wire_forward_response_head, &stage->reply, event->bytes,
                 event->length);
}

/* Return the address that SOCKET listens on.  */
static inline struct address
listening_address (GSocket *socket)
{
  GSocketAddress *local = g_socket_get_local_address (socket, NULL);
  struct address at = { LOCAL, 0 };

  at.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
  return at;
}

/* Give the node a configuration with routes to the other node, one of them
   idempotent, as from a read that showed nothing newer.  */
static inline void
add_route (struct mesh_node *node)
{
  struct event event = { .kind = EVENT_ROUTING };
  struct event read = { .kind = EVENT_TOPIC_READ,
                        .u.topic_read = { .topic = MESH_TOPIC_CONFIG,
                                          .at_end = TRUE,
                                          .started_at = clock_usec () } };
  struct route_share share = { .service = "other", .weight = 1 };
  struct route route = { .host = "h",
                         .path_prefix = "/other/",
                         .run_class = RUN_ONCE,
                         .timeout_usec = CASE_USEC,
                         .max_attempts = 1,
                         .share_count = 1,
                         .shares = &share };

  event.u.routing.routing = routing_new (1);
  routing_add_route (event.u.routing.routing, &route);
  route.path_prefix = "/read/";
  route.run_class = RUN_IDEMPOTENT;
  routing_add_route (event.u.routing.routing, &route);
  mesh_node_handle_event (node, &event);
  mesh_node_handle_event (node, &read);
}

/* Give the node the record of the other node, and a message from it.  */
static inline void
add_other (struct stage *stage)
{
  struct event records = { .kind = EVENT_FLEET_RECORDS };
  struct event message = { .kind = EVENT_MESH_CALL };
  struct mesh_call call = { .kind = MESH_GOSSIP };
  struct fleet_entry entry = { .record.kind = FLEET_MEMBER };
  struct fleet_member *member = &entry.record.u.member;

  g_strlcpy (member->name, "b", sizeof member->name);
  g_strlcpy (member->service, "other", sizeof member->service);
  g_strlcpy (member->instance.id, "sb", sizeof member->instance.id);
  member->incarnation = OTHER_INCARNATION;
  member->slots = 4;
  member->peer_address = listening_address (stage->other.listener);
  fleet_record_set_key (&entry.record);
  records.u.fleet_records.items = &entry;
  records.u.fleet_records.count = 1;
  records.u.fleet_records.next_offset = 1;
  records.u.fleet_records.complete = TRUE;
  records.u.fleet_records.at_end = TRUE;
  records.u.fleet_records.started_at = clock_usec ();
  mesh_node_handle_event (&stage->node, &records);
  g_strlcpy (call.u.gossip.name, "b", NAME_SIZE);
  call.u.gossip.incarnation = OTHER_INCARNATION;
  call.u.gossip.applied_offset = 1;
  call.u.gossip.config_version = 1;
  call.u.gossip.load.slots = 4;
  message.u.mesh_call.call = &call;
  mesh_node_handle_event (&stage->node, &message);
}

/* Start both nodes.  */
static inline void
stage_init (struct stage *stage)
{
  struct mesh_config config = { 0 };
  struct address any = { LOCAL, 0 };

  memset (stage, 0, sizeof *stage);
  stage->held = g_array_new (FALSE, FALSE, sizeof (struct held_forward));
  CU_ASSERT_EQUAL_FATAL (links_init (&stage->other, any, on_other, stage),
                         ERR_NONE);
  config.caller_address = config.control_address = any;
  config.ready_address = config.metrics_address = any;
  config.store_address = (struct address){ LOCAL, 1 };
  config.mesh.peer_address = any;
  config.mesh.server_address = (struct address){ LOCAL, 1 };
  config.mesh.heartbeat_usec = CASE_USEC;
  config.mesh.max_grant_usec = CASE_USEC;
  config.mesh.drain_limit_usec = CASE_USEC;
  config.mesh.config_apply_usec = CASE_USEC;
  config.mesh.stop_grace_usec = GRACE_USEC;
  g_strlcpy (config.mesh.name, "a", sizeof config.mesh.name);
  g_strlcpy (config.mesh.service, "own", sizeof config.mesh.service);
  CU_ASSERT_EQUAL_FATAL (mesh_node_init (&stage->node, &config, "/dev/null"),
                         ERR_NONE);
  add_route (&stage->node);
  add_other (stage);
}

/* Stop both nodes.  */
static inline void
stage_clear (struct stage *stage)
{
  mesh_node_clear (&stage->node);
  links_clear (&stage->other);
  g_array_free (stage->held, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
}

#endif

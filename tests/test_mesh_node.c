#include "platform/config.h"
#include "tests/mesh_node_stop.h"
#include "tests/raw_caller.h"
#include "wire/wire_mesh.h"

/* A node of a mesh on its main loop: the turn of the loop in which it
   ends.  */

/* Start STAGE with a caller whose first request was answered and whose second
   one is ready to be read.  Return the caller's connection.  */
static GSocket *
stage_with_request (struct stage *stage)
{
  GSocket *caller;

  stage_init (stage);
  caller = connect_to (http_server_port (&stage->node.proxy.callers));
  send_text (caller, CALLER_REQUEST);
  CU_ASSERT_EQUAL_FATAL (wait_for_status (caller), 200);
  send_text (caller, CALLER_REQUEST);
  return caller;
}

/* Guards against requests that are lost in a planned stop: one that is ready
   to be read in the turn of the loop in which nothing is left to do is
   answered before the process ends.  */
static void
test_request_at_the_end (void)
{
  struct stage stage;
  GSocket *caller = stage_with_request (&stage);

  run_to_end (&stage.node, QUIET_USEC);
  CU_ASSERT_EQUAL (received_status (caller), 200);
  CU_ASSERT_EQUAL (stage.runs, 2);
  CU_ASSERT_EQUAL (stage.node.mesh.requests.count, 0);
  g_object_unref (caller);
  stage_clear (&stage);
}

/* The same at the time at which the process has to end: the request is not
   passed on any more.  */
static void
test_request_at_the_kill (void)
{
  struct stage stage;
  GSocket *caller = stage_with_request (&stage);

  run_to_end (&stage.node, KILL_NEAR_USEC);
  CU_ASSERT_EQUAL (stage.node.proxy.counters.forwarded_attempts, 1);
  g_object_unref (caller);
  stage_clear (&stage);
}

/* A request of another node that is ready in that turn is refused before the
   process ends.  */
static void
test_forward_at_the_end (void)
{
  struct stage stage;
  struct address at;
  struct link_tag tag = { 0 };
  guint64 stream = 1;
  gint64 deadline = clock_usec () + CASE_USEC;
  struct forward_request forward = { .stream = 1,
                                     .method = (char *)"GET",
                                     .target = (char *)"/own/x",
                                     .headers = (char *)"",
                                     .is_last_chunk = TRUE };

  stage_init (&stage);
  at = listening_address (stage.node.proxy.links.listener);
  links_call (&stage.other, at, RPC_NULL, wire_forward_stream, &stream, &tag,
              deadline);
  while (stage.replies == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  forward.target_incarnation = stage.node.proxy.self_incarnation;
  forward.request.deadline = CASE_USEC;
  links_call (&stage.other, at, RPC_FORWARD_REQUEST, wire_forward_request,
              &forward, &tag, deadline);
  run_to_end (&stage.node, QUIET_USEC);
  while (stage.replies < 2 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (stage.replies, 2);
  CU_ASSERT_EQUAL (stage.reply.outcome, OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (stage.runs, 0);
  xdr_free ((xdrproc_t)wire_forward_response_head, (char *)&stage.reply);
  stage_clear (&stage);
}

/* A deregistration that is ready in that turn is answered before the process
   ends: the server need not wait for the next process.  */
static void
test_deregistration_at_the_end (void)
{
  struct stage stage;
  GSocket *server;

  stage_init (&stage);
  server = connect_to (http_server_port (&stage.node.control_api.http_server));
  send_text (server, "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n");
  CU_ASSERT_NOT_EQUAL_FATAL (wait_for_status (server), 0);
  send_text (server, "DELETE /api/instances/sa HTTP/1.1\r\nHost: a\r\n\r\n");
  run_to_end (&stage.node, QUIET_USEC);
  CU_ASSERT_EQUAL (received_status (server), 200);
  g_object_unref (server);
  stage_clear (&stage);
}

/* Have the node read a configuration of LENGTH BYTES at the end of the
   operator's topic.  Return whether that shows that the one in force is the
   newest.  */
static gboolean
read_confirms (struct stage *stage, const char *bytes, gsize length)
{
  struct store_item item = { .key = (char *)PLATFORM_CONFIG_KEY,
                             .value = (const guint8 *)bytes,
                             .value_length = length };
  struct topic_reader_event read
      = { .items = &item,
          .item_count = length > 0 ? 1 : 0,
          .at_end = TRUE,
          .started_at
          = stage->node.mesh.freshness[MESH_TOPIC_CONFIG].confirmed_at + 1 };

  mesh_node_on_config (&read, &stage->node);
  return stage->node.mesh.freshness[MESH_TOPIC_CONFIG].confirmed_at
         == read.started_at;
}

/* Guards against a route that is denied by an old configuration, since the
   newest one could not be read.  */
static void
test_malformed_config (void)
{
  static const char malformed[] = "{\"version\":";
  struct stage stage;

  stage_init (&stage);
  CU_ASSERT_TRUE (read_confirms (&stage, NULL, 0));
  CU_ASSERT_FALSE (read_confirms (&stage, malformed, strlen (malformed)));
  CU_ASSERT_FALSE (read_confirms (&stage, NULL, 0));
  stage_clear (&stage);
}

/* Pass a reply to a fetch to the node: the other node knows the operator's
   topic up to the offset END, and sends LENGTH BYTES as a configuration.
   Return the offset from which the node reads on.  */
static guint64
offset_after_fetch (struct stage *stage, guint64 end, const char *bytes,
                    guint32 length)
{
  struct mesh_reply reply = { .kind = MESH_FETCH };
  struct link_event event
      = { .kind = LINK_REPLY, .procedure = RPC_MESH, .code = ERR_NONE };
  GByteArray *encoded;

  reply.u.fetch.config_next_offset = end;
  reply.u.fetch.config_version = length > 0 ? 2 : 0;
  reply.u.fetch.config_bytes = (guint8 *)bytes;
  reply.u.fetch.config_length = length;
  encoded = wire_encode (wire_mesh_reply, &reply, 65536);
  event.bytes = encoded->data;
  event.length = encoded->len;
  event.tag.user_value = MESH_FETCH;
  mesh_node_on_link (&event, &stage->node);
  g_byte_array_unref (encoded);
  return stage->node.config_reader.next_offset;
}

/* Guards against a version that is passed over: a reply that brings no
   configuration, or a malformed one, does not move the offset from which the
   node reads the operator's topic.  */
static void
test_offset_without_config (void)
{
  struct stage stage;

  stage_init (&stage);
  stage.node.config_reader.phase = TOPIC_READER_TAIL;
  stage.node.config_reader.next_offset = 3;
  CU_ASSERT_EQUAL (offset_after_fetch (&stage, 9, NULL, 0), 3);
  CU_ASSERT_EQUAL (offset_after_fetch (&stage, 9, "{", 1), 3);
  stage_clear (&stage);
}

/* Guards against an owner that gets a part of an upload as the whole: the
   caller leaves between two chunks, in the way END, while the upload is passed
   on to another node.  */
static void
check_broken_forward (enum raw_end end)
{
  struct stage stage;
  gint64 deadline = clock_usec () + CASE_USEC;
  int caller;

  stage_init (&stage);
  stage.holds_requests = TRUE;
  caller = raw_connect (http_server_port (&stage.node.proxy.callers));
  raw_send (caller, "POST /other/x HTTP/1.1\r\nHost: h\r\n" NAME_ID
                    ": 1\r\n" NAME_DEADLINE
                    ": 2000\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nhello\r\n");
  while (stage.runs == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  raw_end (caller, end);
  while (stage.cancels == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (stage.runs, 1);
  CU_ASSERT_EQUAL (stage.cancels, 1);
  CU_ASSERT_EQUAL (stage.whole_bodies, 0);
  if (end == RAW_HALF_CLOSE)
    close (caller);
  stage_clear (&stage);
}

/* The same for each kind of end.  */
static void
test_broken_forward (void)
{
  int end;

  for (end = 0; end < RAW_END_COUNT; end++)
    check_broken_forward (end);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "request in the turn of the end", test_request_at_the_end },
    { "request in the turn of the kill", test_request_at_the_kill },
    { "forwarded request in the turn of the end", test_forward_at_the_end },
    { "deregistration in the turn of the end",
      test_deregistration_at_the_end },
    { "upload broken off on its way to another node", test_broken_forward },
    { "malformed configuration", test_malformed_config },
    { "fetch without a configuration", test_offset_without_config },
    CU_TEST_INFO_NULL
  };

  return suite_run ("mesh_node", tests);
}

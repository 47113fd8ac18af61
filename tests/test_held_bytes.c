#include "edge/held_bytes.h"
#include "tests/mesh_node_stop.h"
#include "tests/raw_caller.h"

/* What is done where the byte budget of the process is short.  */

#define MEMORY_BYTES ((guint64)32u * 1048576u)
#define DESCRIPTORS 600u
#define PART_BYTES 60000u /* written at a time */
#define SPARE_BYTES                                                           \
  30000u /* less than is unread, more than two connections                    \
            count */

/* Take PARTS eighths of the budget.  Return the holder.  */
static struct handle
take (gint64 parts)
{
  struct handle holder = held_bytes_add (BYTE_HOLDER_OTHER, NULL);

  held_bytes_charge (holder, (gint64)held_bytes_state ().limit / 8 * parts);
  return holder;
}

/* Run the main loop for as long as something is ready.  */
static void
run_ready (void)
{
  while (g_main_context_iteration (NULL, FALSE))
    continue;
}

/* Guards against a request that is lost, or reported as one that may have run,
   for lack of memory: a caller's is refused with 503, a node's as not run, and
   neither reaches a server.  Both are served when there is room.  */
static void
test_refused (void)
{
  struct stage stage;
  struct link_tag tag = { 0 };
  struct forward_request forward = { .stream = 1,
                                     .method = (char *)"GET",
                                     .target = (char *)"/own/x",
                                     .headers = (char *)"",
                                     .is_last_chunk = TRUE };
  struct handle holder;
  gint64 deadline = clock_usec () + CASE_USEC;
  GSocket *caller;

  stage_init (&stage);
  stage.node.proxy.callers.is_bounded = FALSE; /* nothing can be closed */
  caller = connect_to (http_server_port (&stage.node.proxy.callers));
  send_text (caller, CALLER_REQUEST);
  CU_ASSERT_EQUAL (wait_for_status (caller), 200);
  holder = take (7);
  forward.target_incarnation = stage.node.proxy.self_incarnation;
  forward.request.deadline = CASE_USEC;
  links_call (
      &stage.other, listening_address (stage.node.proxy.links.listener),
      RPC_FORWARD_REQUEST, wire_forward_request, &forward, &tag, deadline);
  while (stage.replies == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL (stage.reply.outcome, OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (stage.reply.reason, REASON_MEMORY);
  xdr_free ((xdrproc_t)wire_forward_response_head, (char *)&stage.reply);
  send_text (caller, CALLER_REQUEST);
  CU_ASSERT_EQUAL (wait_for_status (caller), 200);
  CU_ASSERT_EQUAL (stage.runs, 2);
  held_bytes_charge (holder, (gint64)held_bytes_state ().limit / 8);
  send_text (caller, CALLER_REQUEST);
  CU_ASSERT_EQUAL (wait_for_status (caller), 503);
  CU_ASSERT_EQUAL (stage.runs, 2);
  CU_ASSERT_EQUAL (stage.node.proxy.counters.refused_by_reason[REASON_MEMORY],
                   1);
  held_bytes_remove (holder);
  send_text (caller, CALLER_REQUEST);
  CU_ASSERT_EQUAL (wait_for_status (caller), 200);
  g_object_unref (caller);
  stage_clear (&stage);
}

/* Connections */

/* A connection of a caller.  */
struct pair
{
  struct conn *conn; /* this end */
  int caller;        /* the caller's end */
  guint received;    /* CONN_RECEIVED was reported */
  guint closed;      /* CONN_CLOSED was reported */
};

/* Record an event of the connection.  */
static void
on_event (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct pair *pair = data;

  (void)conn;
  pair->received += event->kind == CONN_RECEIVED;
  pair->closed += event->kind == CONN_CLOSED;
}

/* Connect both ends.  */
static void
pair_init (struct pair *pair)
{
  struct address any = { LOCAL, 0 };
  enum err code;
  GSocket *listener = conn_listen (any, &code);

  memset (pair, 0, sizeof *pair);
  pair->caller = raw_connect (listening_address (listener).port);
  pair->conn
      = conn_adopt (g_socket_accept (listener, NULL, NULL), on_event, pair);
  conn_of_caller (pair->conn);
  g_object_unref (listener);
}

/* Guards against callers who send on while the process is full: what they send
   stays unread until there is room.  */
static void
test_held_back (void)
{
  struct pair pair;
  struct handle holder = take (8);

  pair_init (&pair);
  raw_send (pair.caller, "a request");
  run_ready ();
  CU_ASSERT_EQUAL (pair.received, 0);
  held_bytes_step ();
  run_ready ();
  CU_ASSERT_EQUAL (pair.received, 0);
  CU_ASSERT_EQUAL (pair.closed, 1); /* the only one that can be closed */
  conn_close (pair.conn);
  close (pair.caller);
  held_bytes_remove (holder);

  holder = take (1);
  pair_init (&pair);
  conn_hold (pair.conn, (gsize)held_bytes_state ().limit / 8 * 5);
  raw_send (pair.caller, "a request");
  run_ready ();
  held_bytes_step ();
  run_ready ();
  CU_ASSERT_EQUAL (pair.received, 0);
  CU_ASSERT_EQUAL (pair.closed, 0);
  held_bytes_remove (holder);
  held_bytes_step ();
  run_ready ();
  CU_ASSERT_EQUAL (pair.received, 1);
  conn_close (pair.conn);
  close (pair.caller);
  CU_ASSERT_EQUAL (held_bytes_state ().held, 0);
}

/* Guards against a process that grows until it ends: the connection that holds
   most is reset, so that its caller takes nothing for whole.  */
static void
test_closed (void)
{
  static guint8 bytes[PART_BYTES];
  struct pair large;
  struct pair small;
  struct handle holder = take (6);
  char part[PART_BYTES];
  ssize_t count;

  pair_init (&large);
  pair_init (&small);
  while (conn_unsent (large.conn) < SPARE_BYTES)
    conn_send (large.conn, bytes, sizeof bytes);
  run_ready ();
  CU_ASSERT_EQUAL (large.closed, 0);
  held_bytes_charge (holder,
                     (gint64)held_bytes_state ().limit / 8 - SPARE_BYTES);
  run_ready ();
  CU_ASSERT_EQUAL (large.closed, 1);
  CU_ASSERT_EQUAL (small.closed, 0);
  CU_ASSERT_EQUAL (held_bytes_state ().closed, 2); /* with test_held_back */
  do
    count = recv (large.caller, part, sizeof part, 0);
  while (count > 0);
  CU_ASSERT_TRUE (count < 0 && errno == ECONNRESET);
  conn_close (large.conn);
  conn_close (small.conn);
  close (large.caller);
  close (small.caller);
  held_bytes_remove (holder);
  CU_ASSERT_EQUAL (held_bytes_state ().held, 0);
}

/* Guards against callers who take the descriptors that servers, other nodes
   and the store need: they are left waiting until there is room.  */
static void
test_descriptors (void)
{
  struct http_server server = { 0 };
  struct address any = { LOCAL, 0 };
  GPtrArray *others = g_ptr_array_new ();
  int caller;
  guint i;

  http_server_init (&server, NULL, NULL);
  server.is_bounded = TRUE;
  CU_ASSERT_EQUAL_FATAL (http_server_listen (&server, any), ERR_NONE);
  for (i = 0; i < DESCRIPTORS; i++)
    {
      struct handle holder = held_bytes_add (BYTE_HOLDER_OTHER, NULL);
      g_ptr_array_add (others, GUINT_TO_POINTER (holder.bits));
    }
  caller = raw_connect (http_server_port (&server));
  run_ready ();
  CU_ASSERT_EQUAL (server.conns.count, 0);
  CU_ASSERT_TRUE (held_bytes_state ().is_short);
  for (i = 0; i < DESCRIPTORS; i++)
    {
      struct handle holder
          = { GPOINTER_TO_UINT (g_ptr_array_index (others, i)) };
      held_bytes_remove (holder);
    }
  http_server_expire (&server, clock_usec () + USEC_PER_SEC);
  run_ready ();
  CU_ASSERT_EQUAL (server.conns.count, 1);
  close (caller);
  http_server_clear (&server);
  g_ptr_array_free (others, TRUE);
  CU_ASSERT_EQUAL (held_bytes_state ().held, 0);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "held back", test_held_back },
                                 { "closed", test_closed },
                                 { "descriptors", test_descriptors },
                                 { "refused", test_refused },
                                 CU_TEST_INFO_NULL };

  held_bytes_limit (MEMORY_BYTES, DESCRIPTORS);
  return suite_run ("held_bytes", tests);
}

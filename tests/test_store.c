#include "platform/store.h"
#include "tests/suite.h"
#include "types/clock.h"

#include <string.h>

/* The client of the store, against a store that answers without end.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)5000000) /* time limit of a test */
#define UNSENT_MAX 1048576u         /* bytes queued for the client */
#define PART_BYTES 65536u           /* bytes sent at a time */

/* A store, and the result that its client reports.  */
struct stage
{
  struct http http;               /* HTTP client */
  struct store store;             /* client of the store */
  GSocket *listener;              /* listening socket of the store */
  GSource *accept_source;         /* accepts the client's connection */
  struct conn *conn;              /* connection of the store */
  guint results;                  /* results that were reported */
  enum store_operation operation; /* operation of the last one */
  enum err code;                  /* code of the last one */
};

/* Send more of the body unless much of it is queued.  */
static void
send_more (struct conn *conn)
{
  static guint8 part[PART_BYTES];

  memset (part, 'x', sizeof part);
  while (conn_unsent (conn) < UNSENT_MAX)
    conn_send (conn, part, sizeof part);
}

/* The store: answer a call with a body that has no end.  */
static void
on_store (struct conn *conn, const struct conn_event *event, gpointer data)
{
  static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";
  struct stage *stage = data;

  switch (event->kind)
    {
    case CONN_CONNECTED:
      break;
    case CONN_RECEIVED:
      conn_consume (conn, conn->receive_buffer->len);
      conn_send (conn, (const guint8 *)head, strlen (head));
      send_more (conn);
      break;
    case CONN_DRAINED:
      send_more (conn);
      break;
    case CONN_CLOSED:
      stage->conn = NULL;
      conn_close (conn);
      break;
    }
}

/* Accept the client's connection.  */
static gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct stage *stage = data;

  (void)condition;
  if (stage->conn != NULL)
    conn_close (stage->conn);
  stage->conn
      = conn_adopt (g_socket_accept (socket, NULL, NULL), on_store, stage);
  return G_SOURCE_CONTINUE;
}

/* Record a result.  */
static void
on_result (const struct store_result *result, gpointer data)
{
  struct stage *stage = data;

  stage->results++;
  stage->operation = result->operation;
  stage->code = result->code;
}

/* Start the store and its client.  */
static void
stage_init (struct stage *stage)
{
  struct address at = { LOCAL, 0 };
  GSocketAddress *local;
  enum err code;

  memset (stage, 0, sizeof *stage);
  stage->listener = conn_listen (at, &code);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stage->listener);
  local = g_socket_get_local_address (stage->listener, NULL);
  at.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
  stage->accept_source
      = g_socket_create_source (stage->listener, G_IO_IN, NULL);
  g_source_set_callback (stage->accept_source, G_SOURCE_FUNC (on_accept),
                         stage, NULL);
  g_source_attach (stage->accept_source, NULL);
  http_init (&stage->http);
  store_init (&stage->store, &stage->http, at);
}

/* Run the loop until RESULTS calls have ended.  Calls have no deadline
   here.  */
static void
wait_for_results (const struct stage *stage, guint results)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (stage->results < results && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_EQUAL_FATAL (stage->results, results);
}

/* Stop the store and its client.  */
static void
stage_clear (struct stage *stage)
{
  store_clear (&stage->store);
  http_clear (&stage->http);
  if (stage->conn != NULL)
    conn_close (stage->conn);
  g_source_destroy (stage->accept_source);
  g_source_unref (stage->accept_source);
  g_object_unref (stage->listener);
}

/* Guards against an answer of the store without end that fills the memory:
   the call fails once the answer is longer than any can be.  An append may
   have been carried out all the same.  */
static void
test_endless_answer (void)
{
  struct stage stage;
  GByteArray *value = g_byte_array_new ();

  stage_init (&stage);
  store_read_newest (&stage.store, "t", NULL, on_result, &stage);
  wait_for_results (&stage, 1);
  CU_ASSERT_EQUAL (stage.operation, STORE_NEWEST);
  CU_ASSERT_EQUAL (stage.code, ERR_UNAVAILABLE);
  store_append (&stage.store, "t", 0, "key", value, on_result, &stage);
  wait_for_results (&stage, 2);
  CU_ASSERT_EQUAL (stage.operation, STORE_APPEND);
  CU_ASSERT_EQUAL (stage.code, ERR_INDETERMINATE);
  CU_ASSERT_EQUAL (store_pending_appends (&stage.store), 0);
  g_byte_array_unref (value);
  stage_clear (&stage);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "endless answer", test_endless_answer }, CU_TEST_INFO_NULL };

  return suite_run ("store", tests);
}

#include "platform/control_api.h"

#include "edge/conn.h"
#include "tests/suite.h"
#include "types/clock.h"

#include <string.h>

/* Calls to a node without end: heartbeats whose head or body does not stop. */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)5000000) /* time limit of a test */
#define PART_BYTES 65536u           /* bytes sent at a time */
#define UNSENT_MAX 1048576u         /* bytes queued for the node */
#define SENT_MAX 33554432u          /* bytes that the node may take */

/* A node's API and a backend server that calls it.  */
struct stage
{
  struct control_api api; /* the API */
  struct address at;      /* where it listens */
  guint events;           /* heartbeats that it reported */
  gboolean closed;        /* the API ended the server's connection */
  guint64 sent;           /* bytes that the API took */
};

/* Count a heartbeat, well-formed or not.  */
static void
on_event (const struct control_api_event *event, gpointer data)
{
  struct stage *stage = data;

  (void)event;
  stage->events++;
}

/* The node is not ready.  */
static gboolean
is_ready (gpointer data)
{
  (void)data;
  return FALSE;
}

/* The node has no metrics.  */
static char *
metrics (gpointer data)
{
  (void)data;
  return g_strdup ("");
}

/* Send more unless much is queued already.  */
static void
send_more (struct stage *stage, struct conn *conn)
{
  static guint8 part[PART_BYTES];

  memset (part, 'x', sizeof part);
  while (conn_unsent (conn) < UNSENT_MAX)
    conn_send (conn, part, sizeof part);
  stage->sent = conn->queued_bytes - conn_unsent (conn);
}

/* The server: go on sending until the API ends the connection.  */
static void
on_server (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct stage *stage = data;

  switch (event->kind)
    {
    case CONN_CONNECTED:
      break;
    case CONN_RECEIVED:
      conn_consume (conn, conn->receive_buffer->len);
      break;
    case CONN_DRAINED:
      send_more (stage, conn);
      break;
    case CONN_CLOSED:
      stage->closed = TRUE;
      break;
    }
}

/* Start the API.  */
static void
stage_init (struct stage *stage)
{
  const struct control_api_handlers handlers
      = { on_event, is_ready, metrics, stage };
  struct address any = { LOCAL, 0 };
  GSList *uris;

  memset (stage, 0, sizeof *stage);
  CU_ASSERT_EQUAL_FATAL (
      control_api_init (&stage->api, any, any, any, &handlers), ERR_NONE);
  uris = soup_server_get_uris (stage->api.http_server);
  stage->at = any;
  stage->at.port = (guint16)g_uri_get_port (uris->data);
  g_slist_free_full (uris, (GDestroyNotify)g_uri_unref);
}

/* Send HEAD and then bytes without end.  The API has to end the connection
   before it has taken SENT_MAX of them, and report EVENTS.  */
static void
check_endless (const char *head, guint events)
{
  struct stage stage;
  struct conn *conn;
  gint64 deadline = clock_usec () + CASE_USEC;

  stage_init (&stage);
  conn = conn_open (stage.at, on_server, &stage);
  conn_send (conn, (const guint8 *)head, strlen (head));
  while (!stage.closed && stage.sent < SENT_MAX && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  CU_ASSERT_TRUE (stage.closed);
  CU_ASSERT_TRUE (stage.sent < SENT_MAX);
  CU_ASSERT_EQUAL (stage.events, events);
  conn_close (conn);
  control_api_clear (&stage.api);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
}

/* Guards against a heartbeat without end that fills the memory.  */
static void
test_endless (void)
{
  check_endless ("PUT /api/instances/s HTTP/1.1\r\nHost: a\r\n"
                 "Content-Length: 1000000000\r\n\r\n",
                 1);
  check_endless ("PUT /api/instances/s HTTP/1.1\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n",
                 1);
  check_endless ("PUT /api/instances/s HTTP/1.1\r\nHost: a\r\nX-Noise: ", 0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "heartbeat without end", test_endless }, CU_TEST_INFO_NULL };

  return suite_run ("control_api", tests);
}

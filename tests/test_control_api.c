#include "platform/control_api.h"

#include "edge/conn.h"
#include "tests/raw_caller.h"
#include "tests/suite.h"
#include "types/clock.h"

#include <string.h>

/* Calls to a node that do not end, break off, or are not valid.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)5000000) /* time limit of a test */
#define QUIET_USEC ((gint64)100000) /* in which an event would be reported */
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

/* The node explains one query, which it counts as an event, and takes all
   others for malformed.  */
static char *
explain (const char *query, gpointer data)
{
  struct stage *stage = data;

  if (strcmp (query, "host=h&target=%2Fx%3Fy") != 0)
    return NULL;
  stage->events++;
  return g_strdup ("{}");
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
      = { on_event, is_ready, metrics, explain, stage };
  struct address any = { LOCAL, 0 };

  memset (stage, 0, sizeof *stage);
  CU_ASSERT_EQUAL_FATAL (
      control_api_init (&stage->api, any, any, any, &handlers), ERR_NONE);
  stage->at = any;
  stage->at.port = http_server_port (&stage->api.http_server);
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

/* Send TEXT, end the connection as END says unless it is RAW_END_COUNT, and
   run the loop for a while.  Return the number of events.  */
static guint
count_events (const char *text, enum raw_end end)
{
  struct stage stage;
  gint64 deadline = clock_usec () + QUIET_USEC;
  int fd;

  stage_init (&stage);
  fd = raw_connect (stage.at.port);
  raw_send (fd, text);
  if (end != RAW_END_COUNT)
    raw_end (fd, end);
  while (clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
  if (end == RAW_HALF_CLOSE || end == RAW_END_COUNT)
    close (fd);
  control_api_clear (&stage.api);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  return stage.events;
}

/* Guards against a deregistration that is carried out though its sender broke
   it off between two chunks.  */
static void
test_broken_off (void)
{
  static const char text[] = "DELETE /api/instances/s HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "2\r\n{}\r\n";
  char *whole = g_strconcat (text, "0\r\n\r\n", NULL);

  CU_ASSERT_EQUAL (count_events (text, RAW_CLOSE), 0);
  CU_ASSERT_EQUAL (count_events (text, RAW_HALF_CLOSE), 0);
  CU_ASSERT_EQUAL (count_events (text, RAW_RESET), 0);
  CU_ASSERT_EQUAL (count_events (whole, RAW_END_COUNT), 1);
  g_free (whole);
}

/* Guards against a deregistration that is smuggled inside a heartbeat.  */
static void
test_smuggled (void)
{
  static const char *const heads[]
      = { "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 0\r\nContent-Length: 5\r\n",
          "Content-Length: 0\r\nContent-Length : 5\r\n" };
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *text
          = g_strconcat ("GET /api/ready HTTP/1.1\r\nHost: a\r\n", heads[i],
                         "\r\n0\r\n\r\n"
                         "DELETE /api/instances/s HTTP/1.1\r\n"
                         "Host: a\r\n\r\n",
                         NULL);
      CU_ASSERT_EQUAL (count_events (text, RAW_END_COUNT), 0);
      g_free (text);
    }
}

/* Guards against an explanation whose query is lost or decoded too early: the
   target of the request has a query of its own.  */
static void
test_explain (void)
{
  CU_ASSERT_EQUAL (
      count_events ("GET /explain?host=h&target=%2Fx%3Fy HTTP/1.1\r\n"
                    "Host: a\r\n\r\n",
                    RAW_END_COUNT),
      1);
  CU_ASSERT_EQUAL (
      count_events ("GET /explain HTTP/1.1\r\nHost: a\r\n\r\n", RAW_END_COUNT),
      0);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "heartbeat without end", test_endless },
          { "deregistration broken off", test_broken_off },
          { "deregistration smuggled", test_smuggled },
          { "explanation", test_explain },
          CU_TEST_INFO_NULL };

  return suite_run ("control_api", tests);
}

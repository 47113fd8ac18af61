#include "edge/http.h"
#include "types/clock.h"
#include "tests/suite.h"

#include <string.h>
#include <sys/socket.h>

/* Tests the HTTP client against a server that sends the bytes given by each
   test, each part in a write of its own.  */

#define CALL_USEC ((gint64)2000000) /* time limit of a call */
#define UNSENT_MAX 65536u           /* limit for bytes queued for the client */
#define EIGHT(text) text text text text text text text text

/* State of a test.  */
struct run
{
  GMainLoop *loop;          /* runs until the call has ended */
  GSocket *listener;        /* listening socket of the server */
  struct conn *peer;        /* the server's connection */
  const char *const *parts; /* parts of the response */
  gboolean close;           /* close the connection after the last part */
  const char *endless; /* text sent repeatedly after the last part, or NULL */
  guint send_timer;    /* timer that sends the endless text */
  GString *body;       /* response body reported by the client */
  guint status;        /* response status reported by the client */
  enum err code;       /* how the call ended */
  gboolean sent;       /* the client sent bytes */
  guint heads;         /* number of heads reported */
};

/* Send the endless text again unless UNSENT_MAX bytes are queued.  */
static gboolean
on_endless_timer (gpointer data)
{
  struct run *run = data;

  if (conn_unsent (run->peer) < UNSENT_MAX)
    conn_send (run->peer, (const guint8 *)run->endless, strlen (run->endless));
  return G_SOURCE_CONTINUE;
}

/* Stop sending the endless text.  */
static void
stop_endless (struct run *run)
{
  if (run->send_timer != 0)
    g_source_remove (run->send_timer);
  run->send_timer = 0;
}

/* Whether the server resets the connections that it closes.  */
static gboolean resets;

/* Reset the server's connection, instead of ending it in order.  */
static void
reset_peer (struct run *run)
{
  struct linger drop = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (g_socket_get_fd (run->peer->socket), SOL_SOCKET, SO_LINGER,
              &drop, sizeof drop);
}

/* Handle an event of the server's connection: respond to the first bytes.  */
static void
on_peer (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct run *run = data;

  if (event->kind == CONN_CLOSED)
    {
      stop_endless (run);
      run->peer = NULL;
      conn_close (conn);
      return;
    }
  if (event->kind != CONN_RECEIVED)
    return;
  for (; run->parts != NULL && *run->parts != NULL; run->parts++)
    conn_send (conn, (const guint8 *)*run->parts, strlen (*run->parts));
  if (run->endless != NULL && run->send_timer == 0)
    run->send_timer = g_timeout_add (1, on_endless_timer, run);
  if (run->close)
    {
      if (resets)
        reset_peer (run);
      run->peer = NULL;
      conn_close (conn);
    }
}

/* Accept the client's connection.  */
static gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct run *run = data;

  (void)condition;
  run->peer = conn_adopt (g_socket_accept (socket, NULL, NULL), on_peer, run);
  return G_SOURCE_CONTINUE;
}

/* Record an event of the client.  */
static void
on_event (const struct http_event *event, gpointer data)
{
  struct run *run = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      run->status = event->status;
      run->heads++;
      break;
    case HTTP_DATA:
      g_string_append_len (run->body, (const char *)event->bytes,
                           (gssize)event->byte_count);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      run->code = event->code;
      run->sent = event->any_sent;
      g_main_loop_quit (run->loop);
      break;
    }
}

/* End calls whose deadline has passed.  */
static gboolean
on_timer (gpointer data)
{
  http_expire (data, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Call a server that sends PARTS, then ENDLESS repeatedly unless it is NULL,
   and closes the connection if CLOSE is set.  The call ends after USEC at the
   latest.  */
static void
run_endless (struct run *run, const char *const *parts, const char *endless,
             gboolean close, gint64 usec)
{
  struct address at = { 0x7f000001, 0 };
  struct http_request request = { .method = "GET", .target = "/" };
  struct http http;
  GSocketAddress *local;
  GSource *source;
  enum err code;
  guint timer;

  memset (run, 0, sizeof *run);
  run->loop = g_main_loop_new (NULL, FALSE);
  run->body = g_string_new (NULL);
  run->parts = parts;
  run->close = close;
  run->endless = endless;
  run->listener = conn_listen (at, &code);
  local = g_socket_get_local_address (run->listener, NULL);
  at.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
  source = g_socket_create_source (run->listener, G_IO_IN, NULL);
  g_source_set_callback (source, G_SOURCE_FUNC (on_accept), run, NULL);
  g_source_attach (source, NULL);
  http_init (&http);
  request.address = at;
  request.deadline = clock_usec () + usec;
  http_finish (&http, http_start (&http, &request, on_event, run));
  timer = g_timeout_add (10, on_timer, &http);
  g_main_loop_run (run->loop);
  g_source_remove (timer);
  stop_endless (run);
  http_clear (&http);
  if (run->peer != NULL)
    conn_close (run->peer);
  g_source_destroy (source);
  g_source_unref (source);
  g_object_unref (run->listener);
  g_main_loop_unref (run->loop);
}

/* Call a server that sends PARTS and then closes the connection if CLOSE is
   set.  */
static void
run_case (struct run *run, const char *const *parts, gboolean close,
          gint64 usec)
{
  run_endless (run, parts, NULL, close, usec);
}

/* A response with Content-Length that arrives in parts split within a
   line.  */
static void
test_length (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 200 O", "K\r\nContent-Length: 5\r\n\r", "\nhe", "llo",
          NULL };
  struct run run;

  run_case (&run, parts, FALSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_EQUAL (run.status, 200);
  CU_ASSERT_STRING_EQUAL (run.body->str, "hello");
  g_string_free (run.body, TRUE);
}

/* A response in chunked encoding, after an interim response.  */
static void
test_chunks (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc",
          "\r\n2;x=y\r\nde\r\n0\r\n", "T: v\r\n\r\n", NULL };
  struct run run;

  run_case (&run, parts, FALSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_EQUAL (run.status, 201);
  CU_ASSERT_EQUAL (run.heads, 1);
  CU_ASSERT_STRING_EQUAL (run.body->str, "abcde");
  g_string_free (run.body, TRUE);
}

/* A truncated response is never reported as complete.  */
static void
test_cut_short (void)
{
  static const char *const length[]
      = { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", NULL };
  static const char *const chunks[]
      = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n",
          NULL };
  struct run run;

  run_case (&run, length, TRUE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TRUNCATED);
  g_string_free (run.body, TRUE);
  run_case (&run, chunks, TRUE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TRUNCATED);
  g_string_free (run.body, TRUE);
}

/* A response that stops in the middle of its head, or whose head ends in the
   middle of a line, is none.  */
static void
test_cut_head (void)
{
  static const char *const heads[][2]
      = { { "HTTP/1.1 200 OK\r\nContent-Len", NULL },
          { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", NULL },
          { "HTTP/1.1 200 OK", NULL },
          { "HTTP/1.1 200 OK\r\n\r", NULL } };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      run_case (&run, heads[i], TRUE, CALL_USEC);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_EQUAL (run.heads, 0);
      CU_ASSERT_TRUE (run.sent);
      g_string_free (run.body, TRUE);
    }
}

/* A body that ends with its connection is complete if the connection ends in
   order, and not if it is reset.  */
static void
test_reset_body (void)
{
  static const char *const parts[]
      = { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhel", NULL };
  struct run run;

  run_case (&run, parts, TRUE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_NONE);
  CU_ASSERT_STRING_EQUAL (run.body->str, "hel");
  g_string_free (run.body, TRUE);
  resets = TRUE;
  run_case (&run, parts, TRUE, CALL_USEC);
  resets = FALSE;
  CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
  g_string_free (run.body, TRUE);
}

/* A length that is no number of bytes makes the response invalid.  */
static void
test_odd_length (void)
{
  static const char *const heads[][2]
      = { { "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhello", NULL },
          { "HTTP/1.1 200 OK\r\nContent-Length: "
            "18446744073709551614\r\n\r\nhello",
            NULL } };
  struct run run;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      run_case (&run, heads[i], FALSE, 50000);
      CU_ASSERT_NOT_EQUAL (run.code, ERR_NONE);
      CU_ASSERT_EQUAL (run.body->len, 0);
      g_string_free (run.body, TRUE);
    }
}

/* Without a response the call ends at its deadline, and reports that bytes
   were sent.  */
static void
test_no_response (void)
{
  struct run run;

  run_case (&run, NULL, FALSE, 50000);
  CU_ASSERT_EQUAL (run.code, ERR_TIMEOUT);
  CU_ASSERT_TRUE (run.sent);
  g_string_free (run.body, TRUE);
}

/* Bytes that are not HTTP, and a chunk size that is not a number.  */
static void
test_malformed (void)
{
  static const char *const parts[] = { "what?\r\n\r\n", NULL };
  static const char *const chunk[]
      = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
          NULL };
  struct run run;

  run_case (&run, parts, FALSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_MALFORMED);
  g_string_free (run.body, TRUE);
  run_case (&run, chunk, FALSE, CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_MALFORMED);
  g_string_free (run.body, TRUE);
}

/* Endless bytes: a head fails once it is too long, interim responses and a
   body end at the deadline of the call.  */
static void
test_endless (void)
{
  static const char *const head[] = { "HTTP/1.1 200 OK\r\n", NULL };
  static const char *const body[]
      = { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", NULL };
  static const char *const none[] = { NULL };
  struct run run;

  run_endless (&run, head, EIGHT (EIGHT ("X-Noise: again and again\r\n")),
               FALSE, 60 * CALL_USEC);
  CU_ASSERT_EQUAL (run.code, ERR_TOO_LARGE);
  g_string_free (run.body, TRUE);
  run_endless (&run, none, "HTTP/1.1 102 Processing\r\n\r\n", FALSE, 50000);
  CU_ASSERT_EQUAL (run.code, ERR_TIMEOUT);
  CU_ASSERT_EQUAL (run.heads, 0);
  g_string_free (run.body, TRUE);
  run_endless (&run, body, "more of the same ", FALSE, 50000);
  CU_ASSERT_EQUAL (run.code, ERR_TIMEOUT);
  CU_ASSERT_EQUAL (run.heads, 1);
  g_string_free (run.body, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "length", test_length },
          { "chunks", test_chunks },
          { "cut short", test_cut_short },
          { "head cut short is an answer", test_cut_head },
          { "reset body is complete", test_reset_body },
          { "length below zero", test_odd_length },
          { "no response", test_no_response },
          { "malformed", test_malformed },
          { "endless", test_endless },
          CU_TEST_INFO_NULL };

  return suite_run ("http", tests);
}

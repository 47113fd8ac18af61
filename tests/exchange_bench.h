#ifndef TESTS_EXCHANGE_BENCH_H
#define TESTS_EXCHANGE_BENCH_H

#include "edge/headers.h"
#include "types/clock.h"
#include "edge/node.h"
#include "tests/suite.h"

#include <string.h>

/* One node on real connections, between a caller and a server that answers
   whatever bytes a case says.  */

#define LOCAL 0x7f000001u
#define FRONT_PORT 25871              /* callers */
#define PEER_PORT 25872               /* nodes */
#define LOG_PORT 25873                /* nothing listens there */
#define SERVER_PORT 25874             /* the server */
#define CASE_USEC ((gint64)3000000)   /* a case may take so long */
#define CANCEL_USEC ((gint64)1000000) /* before the request's deadline */
#define CONFIG                                                                \
  "[place z1]\nregion = r\n"                                                  \
  "[service pay]\ndivided = no\ntimeout-ms = 2000\nqueue = 2\n"               \
  "[rule pay]\nservice = pay\npath = /pay/\nrun = idempotent\n"               \
  "priority = normal\n"

/* What the server and the caller saw.  */
struct bench
{
  struct node node;        /* the node */
  GSocket *listener;       /* the server's */
  GSource *accept;         /* watch on it */
  const char *answer;      /* what it answers after its head's first lines */
  gboolean crossed;        /* it echoes another attempt */
  gboolean close;          /* it closes after that */
  guint asked;             /* requests it was sent */
  guint closed;            /* its connections that the node closed */
  struct http caller;      /* the caller */
  gboolean ended;          /* the caller's call has ended */
  enum err code;           /* how */
  guint status;            /* of its answer */
  char outcome[NAME_SIZE]; /* in its answer */
  GString *body;           /* of its answer */
};

/* The server */

/* Answer the request that CONN has received.  */
static inline void
answer (struct bench *bench, struct conn *conn)
{
  char *text = g_strndup ((const char *)conn->receive_buffer->data,
                          conn->receive_buffer->len);
  const char *echo = strstr (text, HEADER_ATTEMPT ": ");
  guint64 attempt
      = echo != NULL
            ? g_ascii_strtoull (echo + strlen (HEADER_ATTEMPT ": "), NULL, 10)
            : 0;
  char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n%s: %" G_GUINT64_FORMAT "\r\n%s", HEADER_ATTEMPT,
      attempt + bench->crossed, bench->answer);

  bench->asked++;
  conn_send (conn, (const guint8 *)head, strlen (head));
  g_free (head);
  g_free (text);
}

/* Something happened at the server's end.  */
static inline void
on_server (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct bench *bench = data;

  if (event->kind == CONN_CLOSED)
    {
      bench->closed++;
      conn_close (conn);
      return;
    }
  if (event->kind == CONN_RECEIVED && bench->asked == 0)
    {
      if (bench->answer != NULL)
        answer (bench, conn);
      else
        bench->asked++;
    }
  if (event->kind == CONN_DRAINED && bench->close && bench->asked > 0)
    conn_close (conn);
}

/* The node connects to the server.  */
static inline gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  (void)condition;
  conn_adopt (g_socket_accept (socket, NULL, NULL), on_server, data);
  return G_SOURCE_CONTINUE;
}

/* The caller */

/* Something happened to the caller's call.  */
static inline void
on_caller (const struct http_event *event, gpointer data)
{
  struct bench *bench = data;
  const char *outcome;

  switch (event->kind)
    {
    case HTTP_HEAD:
      bench->status = event->status;
      outcome = soup_message_headers_get_one (event->headers, HEADER_OUTCOME);
      g_strlcpy (bench->outcome, outcome != NULL ? outcome : "",
                 sizeof bench->outcome);
      break;
    case HTTP_DATA:
      g_string_append_len (bench->body, (const char *)event->bytes,
                           (gssize)event->byte_count);
      break;
    case HTTP_BATCH_END:
    case HTTP_DRAINED:
      break;
    case HTTP_ENDED:
      bench->ended = TRUE;
      bench->code = event->code;
      break;
    }
}

/* Have the caller ask.  */
static inline struct handle
ask (struct bench *bench)
{
  struct http_request request = { .address = { LOCAL, FRONT_PORT },
                                  .method = "GET",
                                  .target = "/pay/x" };
  struct handle call;

  request.deadline = clock_usec () + CASE_USEC;
  call = http_start (&bench->caller, &request, on_caller, bench);
  http_finish (&bench->caller, call);
  return call;
}

/* Run the loop until *FLAG is set or the case has taken too long.  */
static inline void
run_until (const guint *flag)
{
  gint64 until = clock_usec () + CASE_USEC;

  while (*flag == 0 && clock_usec () < until)
    g_main_context_iteration (NULL, TRUE);
}

/* Life */

/* Have the node read a configuration, and hear of its server.  */
static inline void
teach (struct node *node)
{
  struct log_entry entry = { .offset = 1 };
  struct event event = { .kind = EVENT_RECORDS };
  struct event up = { .kind = EVENT_SERVER_UP };

  entry.record.version = RECORD_VERSION;
  entry.record.kind = RECORD_CONFIG;
  entry.record.body.config.text = (char *)CONFIG;
  event.u.records.items = &entry;
  event.u.records.count = 1;
  event.u.records.next_offset = 2;
  event.u.records.from_log = TRUE;
  node_handle_event (node, &event);
  up.u.server_up.slots = 4;
  node_handle_event (node, &up);
  node->proxy.server_address.ip = LOCAL;
  node->proxy.server_address.port = SERVER_PORT;
  node->server_poll.next_poll_at = G_MAXINT64;
}

/* Start a node, its server, which answers with ANSWER, and a caller.  */
static inline void
begin (struct bench *bench, const char *text)
{
  struct settings settings
      = { .core = { .incarnation = 1, .random_seed = 1 } };
  struct address at = { LOCAL, SERVER_PORT };
  enum err code;

  memset (bench, 0, sizeof *bench);
  bench->answer = text;
  bench->body = g_string_new (NULL);
  settings.core.front_address = (struct address){ LOCAL, FRONT_PORT };
  settings.core.peer_address = (struct address){ LOCAL, PEER_PORT };
  settings.log_address = (struct address){ LOCAL, LOG_PORT };
  g_strlcpy (settings.core.service, "pay", NAME_SIZE);
  CU_ASSERT_EQUAL_FATAL (node_init (&bench->node, &settings), ERR_NONE);
  teach (&bench->node);
  bench->listener = conn_listen (at, &code);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bench->listener);
  bench->accept = g_socket_create_source (bench->listener, G_IO_IN, NULL);
  g_source_set_callback (bench->accept, G_SOURCE_FUNC (on_accept), bench,
                         NULL);
  g_source_attach (bench->accept, NULL);
  http_init (&bench->caller);
}

/* Stop them.  */
static inline void
end (struct bench *bench)
{
  http_clear (&bench->caller);
  node_clear (&bench->node);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  g_source_destroy (bench->accept);
  g_source_unref (bench->accept);
  g_object_unref (bench->listener);
  g_string_free (bench->body, TRUE);
}

#endif

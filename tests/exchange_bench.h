#ifndef TESTS_EXCHANGE_BENCH_H
#define TESTS_EXCHANGE_BENCH_H

#include "edge/headers.h"
#include "types/clock.h"
#include "edge/node.h"
#include "tests/suite.h"

#include <string.h>

/* A node on real connections, between a caller and a server that sends the
   bytes given by each test.  */

#define LOCAL 0x7f000001u
#define FRONT_PORT 25871  /* port for callers */
#define PEER_PORT 25872   /* port for other nodes */
#define LOG_PORT 25873    /* port of the log; nothing listens there */
#define SERVER_PORT 25874 /* port of the backend server */
#define CASE_USEC ((gint64)3000000)   /* time limit of a test */
#define CANCEL_USEC ((gint64)1000000) /* limit, below the request timeout */
#define CONFIG                                                                \
  "[place z1]\nregion = r\n"                                                  \
  "[service pay]\ndivided = no\ntimeout-ms = 2000\nqueue = 2\n"               \
  "[rule pay]\nservice = pay\npath = /pay/\nrun = idempotent\n"               \
  "priority = normal\n"

/* A node, its server and a caller, with the state that the server and the
   caller observed.  */
struct bench
{
  struct node node;         /* the node */
  GSocket *listener;        /* listening socket of the server */
  GSource *accept_source;   /* accepts the server's connections */
  GPtrArray *connections;   /* open connections of the server */
  const char *response;     /* text after the response's first two lines */
  gboolean wrong_attempt;   /* the server echoes another attempt's id */
  gboolean close;           /* close the connection after the response */
  gboolean keeps_serving;   /* respond to all requests, not only the first */
  gboolean stops_reading;   /* read nothing after the first bytes */
  guint requests;           /* requests received by the server */
  guint last_chunks;        /* uploads whose last chunk the server received */
  guint closed_connections; /* connections that the node closed */
  struct http caller;       /* HTTP client of the caller */
  gboolean ended;           /* the caller's call has ended */
  enum err code;            /* how the caller's call ended */
  guint status;             /* status of the caller's response */
  char outcome[NAME_SIZE];  /* outcome in the caller's response */
  GString *body;            /* body of the caller's response */
};

/* The server */

/* Respond to the request that CONN has received.  */
static inline void
send_response (struct bench *bench, struct conn *conn)
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
      attempt + bench->wrong_attempt, bench->response);

  bench->requests++;
  conn_consume (conn, conn->receive_buffer->len);
  conn_send (conn, (const guint8 *)head, strlen (head));
  g_free (head);
  g_free (text);
}

/* Return whether the bytes that CONN has received end with the last chunk of a
   body.  */
static inline gboolean
ends_with_last_chunk (const struct conn *conn)
{
  static const char last[] = "\r\n0\r\n\r\n";
  const GByteArray *received = conn->receive_buffer;
  gsize count = strlen (last);

  return received->len >= count
         && memcmp (received->data + received->len - count, last, count) == 0;
}

/* Handle an event of a connection of the server.  */
static inline void
on_server (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct bench *bench = data;

  if (event->kind == CONN_CLOSED)
    {
      bench->closed_connections++;
      g_ptr_array_remove_fast (bench->connections, conn);
      conn_close (conn);
      return;
    }
  if (event->kind == CONN_RECEIVED && ends_with_last_chunk (conn))
    bench->last_chunks++;
  if (event->kind == CONN_RECEIVED
      && (bench->requests == 0 || bench->keeps_serving))
    {
      if (bench->response != NULL)
        send_response (bench, conn);
      else
        bench->requests++;
      conn_pause (conn, bench->stops_reading);
    }
  if (event->kind == CONN_DRAINED && bench->close && bench->requests > 0)
    {
      g_ptr_array_remove_fast (bench->connections, conn);
      conn_close (conn);
    }
}

/* Accept a connection from the node.  */
static inline gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct bench *bench = data;
  struct conn *conn
      = conn_adopt (g_socket_accept (socket, NULL, NULL), on_server, bench);

  (void)condition;
  g_ptr_array_add (bench->connections, conn);
  return G_SOURCE_CONTINUE;
}

/* The caller */

/* Record an event of the caller's call.  */
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

/* Send a request from the caller.  */
static inline struct handle
send_request (struct bench *bench)
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

/* Run the main loop until *FLAG is set or CASE_USEC have passed.  */
static inline void
run_until (const guint *flag)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (*flag == 0 && clock_usec () < deadline)
    g_main_context_iteration (NULL, TRUE);
}

/* Occupy all slots of a server that does not respond.  */
static inline void
fill_slots (struct bench *bench)
{
  const struct admission *admission = &bench->node.core.admission;
  gint64 deadline = clock_usec () + CASE_USEC;
  guint32 busy;

  while (admission_has_free_slot (&bench->node.core.admission, clock_usec ())
         && clock_usec () < deadline)
    {
      busy = admission->busy_slots;
      send_request (bench);
      while (admission->busy_slots == busy && clock_usec () < deadline)
        g_main_context_iteration (NULL, TRUE);
    }
}

/* Lifetime */

/* Give NODE a configuration, and report its server as up.  */
static inline void
configure_node (struct node *node)
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

/* Start a node, its server, which responds with TEXT, and a caller.  */
static inline void
bench_start (struct bench *bench, const char *text)
{
  struct settings settings
      = { .core = { .incarnation = 1, .random_seed = 1 } };
  struct address at = { LOCAL, SERVER_PORT };
  enum err code;

  memset (bench, 0, sizeof *bench);
  bench->response = text;
  bench->body = g_string_new (NULL);
  bench->connections = g_ptr_array_new ();
  settings.core.front_address = (struct address){ LOCAL, FRONT_PORT };
  settings.core.peer_address = (struct address){ LOCAL, PEER_PORT };
  settings.log_address = (struct address){ LOCAL, LOG_PORT };
  g_strlcpy (settings.core.service, "pay", NAME_SIZE);
  CU_ASSERT_EQUAL_FATAL (node_init (&bench->node, &settings), ERR_NONE);
  configure_node (&bench->node);
  bench->listener = conn_listen (at, &code);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bench->listener);
  bench->accept_source
      = g_socket_create_source (bench->listener, G_IO_IN, NULL);
  g_source_set_callback (bench->accept_source, G_SOURCE_FUNC (on_accept),
                         bench, NULL);
  g_source_attach (bench->accept_source, NULL);
  http_init (&bench->caller);
}

/* Stop the caller, the node and the server.  */
static inline void
bench_stop (struct bench *bench)
{
  http_clear (&bench->caller);
  node_clear (&bench->node);
  g_ptr_array_set_free_func (bench->connections, (GDestroyNotify)conn_close);
  g_ptr_array_free (bench->connections, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  g_source_destroy (bench->accept_source);
  g_source_unref (bench->accept_source);
  g_object_unref (bench->listener);
  g_string_free (bench->body, TRUE);
}

#endif

#ifndef TESTS_HTTP_RUN_H
#define TESTS_HTTP_RUN_H

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

/* What the server does with the connection after the last part.  */
enum run_end
{
  RUN_KEEP,  /* keeps it open */
  RUN_CLOSE, /* ends it in order */
  RUN_RESET  /* resets it */
};

/* State of a test.  */
struct run
{
  GMainLoop *loop;          /* runs until the call has ended */
  GSocket *listener;        /* listening socket of the server */
  struct conn *peer;        /* the server's connection */
  const char *const *parts; /* parts of the response */
  enum run_end end;         /* what follows the last part */
  const char *endless; /* text sent repeatedly after the last part, or NULL */
  guint send_timer;    /* timer that sends the endless text */
  GString *body;       /* response body reported by the client */
  guint status;        /* response status reported by the client */
  enum err code;       /* how the call ended */
  gboolean sent;       /* the client sent bytes */
  guint heads;         /* number of heads reported */
  gboolean skips;      /* the client skips each response */
  struct http *http;   /* the client */
};

/* Send the endless text again unless UNSENT_MAX bytes are queued.  */
static inline gboolean
on_endless_timer (gpointer data)
{
  struct run *run = data;

  if (conn_unsent (run->peer) < UNSENT_MAX)
    conn_send (run->peer, (const guint8 *)run->endless, strlen (run->endless));
  return G_SOURCE_CONTINUE;
}

/* Stop sending the endless text.  */
static inline void
stop_endless (struct run *run)
{
  if (run->send_timer != 0)
    g_source_remove (run->send_timer);
  run->send_timer = 0;
}

/* Reset the server's connection, instead of ending it in order.  */
static inline void
reset_peer (struct run *run)
{
  struct linger drop = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (g_socket_get_fd (run->peer->socket), SOL_SOCKET, SO_LINGER,
              &drop, sizeof drop);
}

/* Handle an event of the server's connection: respond to the first bytes.  */
static inline void
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
  if (run->end != RUN_KEEP)
    {
      if (run->end == RUN_RESET)
        reset_peer (run);
      run->peer = NULL;
      conn_close (conn);
    }
}

/* Accept the client's connection.  */
static inline gboolean
on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct run *run = data;

  (void)condition;
  run->peer = conn_adopt (g_socket_accept (socket, NULL, NULL), on_peer, run);
  return G_SOURCE_CONTINUE;
}

/* Record an event of the client.  */
static inline void
on_event (const struct http_event *event, gpointer data)
{
  struct run *run = data;

  switch (event->kind)
    {
    case HTTP_HEAD:
      run->status = event->status;
      run->heads++;
      if (run->skips)
        http_skip_response (run->http, event->call);
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
static inline gboolean
on_timer (gpointer data)
{
  http_expire (data, clock_usec ());
  return G_SOURCE_CONTINUE;
}

/* Call a server that sends PARTS, then ENDLESS repeatedly unless it is NULL,
   and ends the connection as END says.  SKIPS: the client skips all responses.
   The call ends after USEC at the latest.  */
static inline void
run_call (struct run *run, const char *const *parts, const char *endless,
          enum run_end end, gboolean skips, gint64 usec)
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
  run->end = end;
  run->endless = endless;
  run->skips = skips;
  run->http = &http;
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

/* Call a server that sends PARTS and then ENDLESS repeatedly.  */
static inline void
run_endless (struct run *run, const char *const *parts, const char *endless,
             enum run_end end, gint64 usec)
{
  run_call (run, parts, endless, end, FALSE, usec);
}

/* Call a server that sends PARTS and then ends the connection as END
   says.  */
static inline void
run_case (struct run *run, const char *const *parts, enum run_end end,
          gint64 usec)
{
  run_endless (run, parts, NULL, end, usec);
}

#endif

#ifndef TESTS_ATTEMPT_FIXTURE_H
#define TESTS_ATTEMPT_FIXTURE_H

#include "edge/headers.h"
#include "edge/proxy.h"
#include "tests/suite.h"
#include "types/clock.h"
#include "wire/wire_forward.h"

#include <string.h>

/* A data path whose owner takes no decision, between another node and a
   backend server, both of which record the request bodies that they get.  */

#define LOCAL 0x7f000001u
#define CASE_USEC ((gint64)3000000) /* time limit of a test */
#define PATTERN_PERIOD 251u         /* prime, so that parts differ */

/* What the other node and the server do with a request.  */
enum scene_answer
{
  SCENE_SILENT, /* they read it and do not answer */
  SCENE_REFUSE  /* they refuse it as not run */
};

struct scene
{
  struct proxy proxy;               /* the data path */
  struct links links;               /* connections of the other node */
  struct address other_at;          /* where the other node listens */
  GSocket *listener;                /* listening socket of the server */
  GSource *accept_source;           /* accepts the server's connections */
  GPtrArray *connections;           /* open connections of the server */
  enum scene_answer answer;         /* what both do */
  GByteArray *body;                 /* body of the last request at either */
  guint requests;                   /* requests that reached either */
  guint ended;                      /* attempts that ended */
  struct event_attempt_ended event; /* how the last one ended */
  guint8 *pattern;                  /* bytes of all request bodies */
};

/* The owner: record the end of an attempt.  */
static inline void
scene_on_event (const struct event *event, gpointer data)
{
  struct scene *scene = data;

  if (event->kind != EVENT_ATTEMPT_ENDED)
    return;
  scene->ended++;
  scene->event = event->u.attempt_ended;
}

/* Ignore the RPCs that do not concern requests.  */
static inline void
scene_on_link (const struct link_event *event, gpointer data)
{
  (void)event;
  (void)data;
}

/* The other node */

/* Read the head of a request, and refuse it if the scene says so.  */
static inline void
scene_read_forward (struct scene *scene, const struct link_event *event)
{
  struct forward_request forward = { 0 };
  struct forward_response_head head = { .outcome = OUTCOME_NOT_RUN,
                                        .reason = REASON_SHED,
                                        .headers = (char *)"" };

  CU_ASSERT_EQUAL_FATAL (wire_decode (wire_forward_request, &forward,
                                      event->bytes, event->length),
                         ERR_NONE);
  scene->requests++;
  g_byte_array_set_size (scene->body, 0);
  g_byte_array_append (scene->body, forward.chunk, forward.chunk_length);
  if (scene->answer == SCENE_REFUSE)
    links_reply (&scene->links, event->link, event->xid, ERR_NONE,
                 wire_forward_response_head, &head);
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&forward);
}

/* Read more of the body.  */
static inline void
scene_read_chunk (struct scene *scene, const struct link_event *event)
{
  struct forward_request_chunk chunk = { 0 };

  CU_ASSERT_EQUAL_FATAL (wire_decode (wire_forward_request_chunk, &chunk,
                                      event->bytes, event->length),
                         ERR_NONE);
  g_byte_array_append (scene->body, chunk.chunk, chunk.chunk_length);
  links_reply (&scene->links, event->link, event->xid, ERR_NONE, NULL, NULL);
  xdr_free ((xdrproc_t)wire_forward_request_chunk, (char *)&chunk);
}

/* Handle an event of the other node's connections.  */
static inline void
scene_on_other (const struct link_event *event, gpointer data)
{
  if (event->kind != LINK_CALL)
    return;
  if (event->procedure == RPC_FORWARD_REQUEST)
    scene_read_forward (data, event);
  else if (event->procedure == RPC_FORWARD_CHUNK)
    scene_read_chunk (data, event);
}

/* The server */

/* Refuse the request that CONN has begun to receive.  */
static inline void
scene_send_refusal (struct conn *conn)
{
  static const char text[]
      = "HTTP/1.1 503 Service Unavailable\r\n" HEADER_ATTEMPT
        ": 1\r\n" HEADER_OUTCOME ": not-run\r\n" HEADER_REASON
        ": shed\r\nContent-Length: 0\r\n\r\n";

  conn_send (conn, (const guint8 *)text, strlen (text));
}

/* Record what the server has received on CONN of a request's body.  */
static inline void
scene_read_server (struct scene *scene, const struct conn *conn)
{
  const guint8 *bytes = conn->receive_buffer->data;
  gsize length = conn->receive_buffer->len;
  const guint8 *end = memmem (bytes, length, "\r\n\r\n", 4);
  gsize head = end != NULL ? (gsize)(end - bytes) + 4 : length;

  g_byte_array_set_size (scene->body, 0);
  g_byte_array_append (scene->body, bytes + head, (guint)(length - head));
}

/* Handle an event of a connection of the server.  */
static inline void
scene_on_server (struct conn *conn, const struct conn_event *event,
                 gpointer data)
{
  struct scene *scene = data;

  if (event->kind == CONN_CLOSED)
    {
      g_ptr_array_remove_fast (scene->connections, conn);
      conn_close (conn);
    }
  else if (event->kind == CONN_RECEIVED)
    {
      scene_read_server (scene, conn);
      if (scene->answer == SCENE_REFUSE && conn->queued_bytes == 0)
        scene_send_refusal (conn);
    }
}

/* Accept a connection at the server.  */
static inline gboolean
scene_on_accept (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct scene *scene = data;
  struct conn *conn = conn_adopt (g_socket_accept (socket, NULL, NULL),
                                  scene_on_server, scene);

  (void)condition;
  scene->requests++;
  g_ptr_array_add (scene->connections, conn);
  return G_SOURCE_CONTINUE;
}

/* Lifetime */

/* Return the address that SOCKET listens on.  */
static inline struct address
scene_address (GSocket *socket)
{
  GSocketAddress *local = g_socket_get_local_address (socket, NULL);
  struct address at = { LOCAL, 0 };

  at.port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_object_unref (local);
  return at;
}

/* Start the data path, the other node and the server, with request bodies of
   at most BODY_LENGTH bytes.  */
static inline void
scene_init (struct scene *scene, gsize body_length)
{
  struct address any = { LOCAL, 0 };
  struct proxy_owner owner = { scene_on_event, scene_on_link, scene };
  enum err code;
  gsize i;

  memset (scene, 0, sizeof *scene);
  scene->body = g_byte_array_new ();
  scene->connections = g_ptr_array_new ();
  scene->pattern = g_malloc (body_length);
  for (i = 0; i < body_length; i++)
    scene->pattern[i] = (guint8)(i % PATTERN_PERIOD);
  CU_ASSERT_EQUAL_FATAL (proxy_init (&scene->proxy, any, &owner), ERR_NONE);
  CU_ASSERT_EQUAL_FATAL (
      links_init (&scene->links, any, scene_on_other, scene), ERR_NONE);
  scene->other_at = scene_address (scene->links.listener);
  scene->listener = conn_listen (any, &code);
  CU_ASSERT_PTR_NOT_NULL_FATAL (scene->listener);
  scene->proxy.server_address = scene_address (scene->listener);
  scene->accept_source
      = g_socket_create_source (scene->listener, G_IO_IN, NULL);
  g_source_set_callback (scene->accept_source, G_SOURCE_FUNC (scene_on_accept),
                         scene, NULL);
  g_source_attach (scene->accept_source, NULL);
}

/* Stop all of SCENE.  */
static inline void
scene_clear (struct scene *scene)
{
  proxy_clear (&scene->proxy);
  links_clear (&scene->links);
  g_ptr_array_set_free_func (scene->connections, (GDestroyNotify)conn_close);
  g_ptr_array_free (scene->connections, TRUE);
  while (g_main_context_iteration (NULL, FALSE))
    continue;
  g_source_destroy (scene->accept_source);
  g_source_unref (scene->accept_source);
  g_object_unref (scene->listener);
  g_byte_array_unref (scene->body);
  g_free (scene->pattern);
}

/* Run the main loop until *COUNT is at least WANTED or CASE_USEC have
   passed.  */
static inline void
scene_run_until (const guint *count, guint wanted)
{
  gint64 deadline = clock_usec () + CASE_USEC;

  while (*count < wanted && clock_usec () < deadline)
    g_main_context_iteration (NULL, FALSE);
}

#endif

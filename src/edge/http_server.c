#include "edge/http_server.h"

#include "edge/http_listener.h"
#include "edge/http_server_conn.h"
#include "types/clock.h"

#include <string.h>

/* Connections */

/* Handle an event of a connection.  */
static void
on_conn_event (struct conn *conn, const struct conn_event *event,
               gpointer data)
{
  struct http_server_conn *c = data;

  (void)conn;
  switch (event->kind)
    {
    case CONN_CONNECTED:
      break;
    case CONN_RECEIVED:
      http_server_conn_work (c);
      break;
    case CONN_DRAINED:
      http_server_conn_drained (c);
      break;
    case CONN_CLOSED:
      c->is_cut = TRUE;
      http_server_conn_work (c);
      break;
    }
}

/* Add a connection on SOCKET, which was accepted, and take over its
   reference.  */
void
http_server_conn_add (struct http_server *server, GSocket *socket)
{
  struct handle h = table_add (&server->conns);
  struct http_server_conn *c = table_get (&server->conns, h);

  c->server = server;
  c->self = h;
  c->keep_alive = TRUE;
  c->out = g_byte_array_new ();
  c->conn = conn_adopt (socket, on_conn_event, c);
  if (server->is_bounded)
    conn_of_caller (c->conn);
  conn_watch_hangup (c->conn);
}

/* Free C and what it holds.  */
void
http_server_conn_free (struct http_server_conn *c)
{
  while (c->request_count > 0)
    http_server_request_remove (http_server_conn_last (c));
  if (c->work_source != 0)
    g_source_remove (c->work_source);
  if (c->reply_by_close)
    conn_reset (c->conn);
  else
    conn_close (c->conn);
  http_head_clear (&c->head);
  g_byte_array_unref (c->out);
  table_remove (&c->server->conns, c->self);
}

/* Close C, at once or after its requests were reported as left from the main
   loop.  A response that was not sent to its end is not taken for whole.  */
void
http_server_conn_cut (struct http_server_conn *c)
{
  c->is_cut = TRUE;
  if (c->is_busy)
    return;
  if (c->request_count == 0)
    http_server_conn_free (c);
  else
    http_server_conn_work_later (c);
}

/* Return the oldest request on C, or NULL.  */
struct http_server_request *
http_server_conn_first (const struct http_server_conn *c)
{
  return c->request_count > 0
             ? table_get (&c->server->requests, c->requests[0])
             : NULL;
}

/* Return the newest request on C, or NULL.  */
struct http_server_request *
http_server_conn_last (const struct http_server_conn *c)
{
  return c->request_count > 0 ? table_get (&c->server->requests,
                                           c->requests[c->request_count - 1])
                              : NULL;
}

/* The server */

/* Initialize a server that listens nowhere yet.  Its events go to FN with
   DATA.  */
void
http_server_init (struct http_server *server, http_server_fn *fn,
                  gpointer data)
{
  memset (server, 0, sizeof *server);
  table_init (&server->conns, sizeof (struct http_server_conn));
  table_init (&server->requests, sizeof (struct http_server_request));
  server->listeners = g_ptr_array_new_with_free_func (http_listener_free);
  server->on_event = fn;
  server->data = data;
}

/* Let idempotent requests of one connection run at the same time: FN is asked
   for the head of each request without a body whether it may.  Without that a
   connection serves one request at a time.  */
void
http_server_run_ahead (struct http_server *server, http_server_ahead_fn *fn)
{
  server->may_run_ahead = fn;
}

/* Listen at AT as well.  Return the error of listening.  */
enum err
http_server_listen (struct http_server *server, struct address at)
{
  enum err code;
  struct http_listener *listener = http_listener_new (server, at, &code);

  if (listener != NULL)
    g_ptr_array_add (server->listeners, listener);
  return code;
}

/* Return the port of the first address that SERVER listens at.  */
guint16
http_server_port (const struct http_server *server)
{
  const struct http_listener *listener
      = g_ptr_array_index (server->listeners, 0);
  GSocketAddress *local = g_socket_get_local_address (listener->socket, NULL);
  guint16 port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));

  g_object_unref (local);
  return port;
}

/* Close all connections without events, and stop listening.  */
void
http_server_clear (struct http_server *server)
{
  struct handle h;

  if (server->listeners == NULL)
    return;
  h = table_next (&server->conns, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&server->conns, h))
    http_server_conn_free (table_get (&server->conns, h));
  g_ptr_array_free (server->listeners, TRUE);
  table_clear (&server->conns);
  table_clear (&server->requests);
  g_free (server->date_text);
  memset (server, 0, sizeof *server);
}

/* Return how many callers have not taken all of a response behind which their
   connection is closed.  */
guint
http_server_owed_count (const struct http_server *server)
{
  struct handle h = table_next (&server->conns, HANDLE_NONE);
  guint count = 0;

  for (; handle_is_set (h); h = table_next (&server->conns, h))
    if (http_server_conn_owes (table_get (&server->conns, h)))
      count++;
  return count;
}

/* Close the connections that are due to be closed at NOW, and accept again
   where that had failed.  */
void
http_server_expire (struct http_server *server, gint64 now)
{
  struct handle h;
  guint i;

  if (server->listeners == NULL)
    return;
  h = table_next (&server->conns, HANDLE_NONE);
  for (; handle_is_set (h); h = table_next (&server->conns, h))
    {
      struct http_server_conn *c = table_get (&server->conns, h);
      if (c->close_at != 0 && http_server_conn_linger (c, now))
        http_server_conn_free (c);
    }
  for (i = 0; i < server->listeners->len; i++)
    http_listener_expire (g_ptr_array_index (server->listeners, i), now);
}

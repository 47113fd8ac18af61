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
      http_server_conn_read (c);
      break;
    case CONN_DRAINED:
      http_server_conn_drained (c);
      break;
    case CONN_CLOSED:
      if (handle_is_set (c->request))
        {
          struct http_server_event left = { .kind = HTTP_SERVER_LEFT,
                                            .user = c->user,
                                            .head = &c->head,
                                            .code = ERR_CLOSED };
          left.request = http_server_conn_release (c);
          c->server->on_event (&left, c->server->data);
        }
      http_server_conn_cut (c);
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
  c->out = g_byte_array_new ();
  c->conn = conn_adopt (socket, on_conn_event, c);
  conn_watch_hangup (c->conn);
}

/* Free C and what it holds.  */
void
http_server_conn_free (struct http_server_conn *c)
{
  http_server_conn_release (c);
  if (c->read_on != 0)
    g_source_remove (c->read_on);
  if (c->reply_by_close && c->reply == HTTP_REPLY_BEGUN)
    conn_reset (c->conn);
  else
    conn_close (c->conn);
  http_head_clear (&c->head);
  g_byte_array_unref (c->out);
  table_remove (&c->server->conns, c->self);
}

/* Close C without an event, at once or when what was received is parsed.  A
   response that was not sent to its end is not taken for whole.  */
void
http_server_conn_cut (struct http_server_conn *c)
{
  if (c->is_reading)
    c->is_cut = TRUE;
  else
    http_server_conn_free (c);
}

/* Return the connection of REQUEST, or NULL if the handle is stale.  */
struct http_server_conn *
http_server_conn_of (struct http_server *server, struct handle request)
{
  const struct handle *h = table_get (&server->requests, request);

  return h != NULL ? table_get (&server->conns, *h) : NULL;
}

/* Make the handle of the request in progress on C stale.  Return it.  */
struct handle
http_server_conn_release (struct http_server_conn *c)
{
  struct handle request = c->request;

  if (handle_is_set (request))
    table_remove (&c->server->requests, request);
  c->request = HANDLE_NONE;
  c->user = HANDLE_NONE;
  return request;
}

/* Report an event of KIND of the request in progress on C, if there is
   one.  */
void
http_server_conn_notify (struct http_server_conn *c,
                         enum http_server_event_kind kind)
{
  struct http_server_event event = {
    .kind = kind, .request = c->request, .user = c->user, .head = &c->head
  };

  if (handle_is_set (c->request))
    c->server->on_event (&event, c->server->data);
}

/* Requests */

/* Set the handle that events of REQUEST carry for the user.  */
void
http_server_set_user (struct http_server *server, struct handle request,
                      struct handle user)
{
  struct http_server_conn *c = http_server_conn_of (server, request);

  if (c != NULL)
    c->user = user;
}

/* Return whether the caller of REQUEST has closed its connection, perhaps
   behind bytes that were not read.  */
gboolean
http_server_has_left (struct http_server *server, struct handle request)
{
  const struct http_server_conn *c = http_server_conn_of (server, request);

  return c == NULL || conn_has_hung_up (c->conn);
}

/* Stop reading the body of REQUEST if PAUSED is true, else resume.  What was
   read with the last bytes is still reported.  */
void
http_server_pause (struct http_server *server, struct handle request,
                   gboolean paused)
{
  struct http_server_conn *c = http_server_conn_of (server, request);

  if (c != NULL)
    conn_pause (c->conn, paused);
}

/* Close the connection of REQUEST without an event.  */
void
http_server_cut (struct http_server *server, struct handle request)
{
  struct http_server_conn *c = http_server_conn_of (server, request);

  if (c == NULL)
    return;
  http_server_conn_release (c);
  http_server_conn_cut (c);
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
  table_init (&server->requests, sizeof (struct handle));
  server->listeners = g_ptr_array_new_with_free_func (http_listener_free);
  server->on_event = fn;
  server->data = data;
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
      if (c->close_at != 0 && c->close_at <= now)
        http_server_conn_free (c);
    }
  for (i = 0; i < server->listeners->len; i++)
    http_listener_expire (g_ptr_array_index (server->listeners, i), now);
}

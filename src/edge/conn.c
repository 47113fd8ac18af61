#include "edge/conn.h"

#include "edge/conn_io.h"
#include "edge/inet.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

/* Lifetime */

/* Drop a reference; the last one frees the connection.  */
void
conn_unref (struct conn *conn)
{
  if (--conn->ref_count > 0)
    return;
  g_byte_array_unref (conn->receive_buffer);
  g_byte_array_unref (conn->send_buffer);
  g_free (conn);
}

/* Close the socket and its watch.  */
static void
shut (struct conn *conn)
{
  if (conn->socket == NULL)
    return;
  conn_set_poll_events (conn, 0);
  poller_remove (conn->poll_handle);
  g_socket_close (conn->socket, NULL);
  g_clear_object (&conn->socket);
}

/* Close CONN and drop the owner's reference; no further event is told.  */
void
conn_close (struct conn *conn)
{
  shut (conn);
  conn->on_event = NULL;
  conn_unref (conn);
}

/* Tell the owner of an event.  */
void
conn_notify (struct conn *conn, enum conn_event_kind kind, enum err code)
{
  struct conn_event event = { kind, code };

  if (conn->on_event != NULL)
    conn->on_event (conn, &event, conn->data);
}

/* Note that the connection has ended, and tell the owner.  */
void
conn_fail (struct conn *conn, enum err code)
{
  shut (conn);
  conn_notify (conn, CONN_CLOSED, code);
}

/* Make a connection around SOCKET.  */
static struct conn *
conn_new (GSocket *socket, conn_event_fn *fn, gpointer data)
{
  struct conn *conn = g_new0 (struct conn, 1);

  conn->ref_count = 1;
  conn->socket = socket;
  conn->receive_buffer = g_byte_array_new ();
  conn->send_buffer = g_byte_array_new ();
  conn->on_event = fn;
  conn->data = data;
  if (socket != NULL)
    {
      g_socket_set_blocking (socket, FALSE);
      g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    }
  return conn;
}

/* Interface */

/* Begin a connection to TO.  Events go to FN with DATA; a failure, also one
   found at once, is told from the main loop as CONN_CLOSED with
   ERR_REFUSED.  */
struct conn *
conn_open (struct address to, conn_event_fn *fn, gpointer data)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  struct conn *conn = conn_new (socket, fn, data);
  GSocketAddress *address = inet_socket_address (to);

  if (socket != NULL)
    {
      g_socket_connect (socket, address, NULL, NULL);
      conn_set_poll_events (conn, POLLER_OUT);
    }
  g_object_unref (address);
  return conn;
}

/* Make a connection of an accepted SOCKET, whose reference it takes.  */
struct conn *
conn_adopt (GSocket *socket, conn_event_fn *fn, gpointer data)
{
  struct conn *conn = conn_new (socket, fn, data);

  conn->connected = TRUE;
  conn_set_poll_events (conn, POLLER_IN);
  return conn;
}

/* Tell another owner from now on.  */
void
conn_set_callback (struct conn *conn, conn_event_fn *fn, gpointer data)
{
  conn->on_event = fn;
  conn->data = data;
}

/* Send LENGTH bytes, at once as far as the socket takes them.  A failure is
   found by the read watch, so that the caller is not called back from
   here.  */
void
conn_send (struct conn *conn, const guint8 *bytes, gsize length)
{
  if (conn->socket == NULL)
    return;
  if (conn->connected && conn->send_buffer->len == 0)
    {
      gssize put = g_socket_send (conn->socket, (const char *)bytes, length,
                                  NULL, NULL);
      if (put > 0)
        {
          conn->any_sent = TRUE;
          bytes += put;
          length -= (gsize)put;
        }
    }
  if (length == 0)
    return;
  g_byte_array_append (conn->send_buffer, bytes, (guint)length);
  conn_set_poll_events (conn, conn->poll_events | POLLER_OUT);
}

/* Bytes that are queued and not sent.  */
gsize
conn_unsent (const struct conn *conn)
{
  return conn->send_buffer->len - conn->sent_bytes;
}

/* Take LENGTH bytes off the front of what was received.  */
void
conn_consume (struct conn *conn, gsize length)
{
  if (length > 0)
    g_byte_array_remove_range (conn->receive_buffer, 0, (guint)length);
}

/* Stop or go on reading.  */
void
conn_pause (struct conn *conn, gboolean paused)
{
  conn->read_paused = paused;
  if (paused)
    conn_set_poll_events (conn, conn->poll_events & ~POLLER_IN);
  else if (conn->connected)
    conn_set_poll_events (conn, conn->poll_events | POLLER_IN);
}

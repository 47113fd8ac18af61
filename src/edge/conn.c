#include "edge/conn.h"

#include "edge/buffer.h"
#include "edge/conn_io.h"
#include "edge/held_bytes.h"
#include "edge/inet.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define DROP_BYTES 65536u  /* unread bytes that are dropped at a time */
#define DROP_READS_MAX 16u /* most reads of such bytes */

/* Lifetime */

/* Release a reference; the connection is freed with the last one.  */
void
conn_unref (struct conn *conn)
{
  if (--conn->ref_count > 0)
    return;
  g_byte_array_unref (conn->receive_buffer);
  g_byte_array_unref (conn->send_buffer);
  g_free (conn);
}

/* Return the number of bytes that were sent on CONN and that the other end has
   not acknowledged; 0 if the system cannot tell.  */
gsize
conn_undelivered (const struct conn *conn)
{
  int count = 0;

  if (conn->socket == NULL
      || ioctl (g_socket_get_fd (conn->socket), SIOCOUTQ, &count) != 0)
    return 0;
  return (gsize)MAX (0, count);
}

/* Return whether the socket of CONN has bytes that were sent and that the
   other end has not acknowledged.  FALSE if the system cannot tell.  */
gboolean
conn_has_undelivered (const struct conn *conn)
{
  return conn_undelivered (conn) > 0;
}

/* Read and drop what has arrived on CONN: closing a socket with unread bytes
   resets the connection, and the other end loses what it has not read.  */
static void
drop_unread (struct conn *conn)
{
  static char bytes[DROP_BYTES];
  guint reads = 0;

  while (reads++ < DROP_READS_MAX
         && g_socket_receive (conn->socket, bytes, sizeof bytes, NULL, NULL)
                > 0)
    continue;
}

/* Unregister the socket from the poller and close it.  What was sent is
   delivered after that, unless it is to be discarded.  */
static void
close_socket (struct conn *conn)
{
  if (conn->socket == NULL)
    return;
  conn_set_poll_events (conn, 0);
  poller_remove (conn->poll_handle);
  held_bytes_remove (conn->holder);
  if (!conn->is_discarded && conn_has_undelivered (conn))
    drop_unread (conn);
  g_socket_close (conn->socket, NULL);
  g_clear_object (&conn->socket);
}

/* Close CONN and release the owner's reference.  No more events are
   reported.  */
void
conn_close (struct conn *conn)
{
  close_socket (conn);
  conn->on_event = NULL;
  conn_unref (conn);
}

/* Have CONN reset when it is closed: what the system has not delivered is
   dropped then, and the other end does not take what it has got for whole.  */
void
conn_discard (struct conn *conn)
{
  struct linger drop = { .l_onoff = 1, .l_linger = 0 };

  conn->is_discarded = TRUE;
  if (conn->socket != NULL
      && setsockopt (g_socket_get_fd (conn->socket), SOL_SOCKET, SO_LINGER,
                     &drop, sizeof drop)
             != 0)
    g_warning ("SO_LINGER: %s", g_strerror (errno));
}

/* Close CONN like conn_close, and reset the connection.  */
void
conn_reset (struct conn *conn)
{
  conn_discard (conn);
  conn_close (conn);
}

/* Close CONN like conn_close.  Bytes that were sent and not delivered yet are
   dropped: the connection is reset then.  Without such bytes it ends in order,
   since a reset that is lost is not repeated.  */
void
conn_abort (struct conn *conn)
{
  if (conn_has_undelivered (conn))
    conn_reset (conn);
  else
    conn_close (conn);
}

/* Report an event of CONN to its owner.  */
void
conn_notify (struct conn *conn, enum conn_event_kind kind, enum err code)
{
  struct conn_event event = { kind, code };

  if (conn->on_event != NULL)
    conn->on_event (conn, &event, conn->data);
}

/* Close the socket of CONN and report CONN_CLOSED with CODE.  */
void
conn_fail (struct conn *conn, enum err code)
{
  close_socket (conn);
  conn_notify (conn, CONN_CLOSED, code);
}

/* Create a connection on SOCKET, which may be NULL.  */
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
      conn->holder = held_bytes_add (BYTE_HOLDER_OTHER, conn);
      g_socket_set_blocking (socket, FALSE);
      g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    }
  return conn;
}

/* Interface */

/* Connect to TO without blocking.  Events go to FN with DATA.  Failures, also
   immediate ones, are reported from the main loop as CONN_CLOSED with
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

/* Create a connection on an accepted SOCKET and take over its reference.  */
struct conn *
conn_adopt (GSocket *socket, conn_event_fn *fn, gpointer data)
{
  struct conn *conn = conn_new (socket, fn, data);

  conn->connected = TRUE;
  conn_set_poll_events (conn, POLLER_IN);
  return conn;
}

/* Set the callback FN and its DATA for later events.  */
void
conn_set_callback (struct conn *conn, conn_event_fn *fn, gpointer data)
{
  conn->on_event = fn;
  conn->data = data;
}

/* Send LENGTH bytes: as many as the socket accepts now, the rest when the
   socket is writable.  No event is reported from within this function; a
   failed send is noticed when the socket is read.  */
void
conn_send (struct conn *conn, const guint8 *bytes, gsize length)
{
  if (conn->socket == NULL)
    return;
  conn->queued_bytes += length;
  if (conn->connected && conn->send_buffer->len == 0)
    {
      gssize sent = g_socket_send (conn->socket, (const char *)bytes, length,
                                   NULL, NULL);
      if (sent > 0)
        {
          conn->any_sent = TRUE;
          bytes += sent;
          length -= (gsize)sent;
        }
    }
  if (length == 0)
    return;
  g_byte_array_append (conn->send_buffer, bytes, (guint)length);
  conn_count (conn);
  conn_set_poll_events (conn, conn->poll_events | POLLER_OUT);
}

/* Withdraw the LENGTH bytes that were passed to conn_send when queued_bytes
   was POSITION.  Return FALSE if any of them has been sent.  */
gboolean
conn_withdraw (struct conn *conn, guint64 position, gsize length)
{
  guint64 buffer_start = conn->queued_bytes - conn->send_buffer->len;

  if (conn->socket == NULL || position < buffer_start + conn->sent_bytes)
    return FALSE;
  g_byte_array_remove_range (conn->send_buffer,
                             (guint)(position - buffer_start), (guint)length);
  conn->queued_bytes -= length;
  conn_count (conn);
  return TRUE;
}

/* Return the number of bytes that are queued and not sent.  */
gsize
conn_unsent (const struct conn *conn)
{
  return conn->send_buffer->len - conn->sent_bytes;
}

/* Remove the first LENGTH bytes of the receive buffer.  */
void
conn_consume (struct conn *conn, gsize length)
{
  buffer_consume (conn->receive_buffer, length);
  conn_count (conn);
}

/* Stop reading if PAUSED is true, else resume.  */
void
conn_pause (struct conn *conn, gboolean paused)
{
  conn->read_paused = paused;
  conn_poll_reading (conn);
}

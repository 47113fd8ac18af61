#include "edge/conn_io.h"

#include "edge/buffer.h"
#include "edge/held_bytes.h"

#define READ_BYTES 65536 /* bytes read at a time */

/* Most reads at a time on a connection that reads all that has arrived.  */
#define READS_MAX 16

/* Read up to READ_BYTES from the socket into the receive buffer, which takes
   no more memory than what has arrived.  Return their number, 0 at the end of
   the stream, or -1 with ERROR set.  */
static gssize
receive (struct conn *conn, GError **error)
{
  static guint8 bytes[READ_BYTES]; /* one thread reads */
  gssize count = g_socket_receive (conn->socket, (char *)bytes, sizeof bytes,
                                   NULL, error);

  if (count > 0)
    g_byte_array_append (conn->receive_buffer, bytes, (guint)count);
  conn_count (conn);
  return count;
}

/* Read from the socket and report CONN_RECEIVED.  An end or an error behind
   the bytes is left to the next read.  Return FALSE if the connection has
   ended.  */
static gboolean
read_socket (struct conn *conn)
{
  GError *error = NULL;
  gssize count;
  gssize more;
  int reads = 1;

  if (!held_bytes_may_read (conn->holder))
    {
      conn->held_back = TRUE;
      held_bytes_stop (conn->holder);
      conn_poll_reading (conn);
      return TRUE;
    }
  count = more = receive (conn, &error);
  while (conn->reads_all && more == READ_BYTES && reads++ < READS_MAX)
    more = receive (conn, NULL);
  if (count > 0)
    {
      held_bytes_moved (conn->holder);
      conn_notify (conn, CONN_RECEIVED, ERR_NONE);
      return TRUE;
    }
  if (count < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_error_free (error);
      return TRUE;
    }
  conn_fail (conn,
             count == 0 && !conn_has_undelivered (conn) ? ERR_CLOSED : ERR_IO);
  g_clear_error (&error);
  return FALSE;
}

/* Send queued bytes until the socket accepts no more.  Return FALSE if the
   connection has ended.  */
static gboolean
send_queued (struct conn *conn)
{
  GError *error = NULL;
  gssize count;

  held_bytes_moved (conn->holder);
  while (conn->sent_bytes < conn->send_buffer->len)
    {
      count = g_socket_send (
          conn->socket, (char *)conn->send_buffer->data + conn->sent_bytes,
          conn->send_buffer->len - conn->sent_bytes, NULL, &error);
      if (count < 0)
        {
          gboolean would_block
              = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
          g_clear_error (&error);
          if (!would_block)
            {
              conn_fail (conn, ERR_IO);
              return FALSE;
            }
          conn_set_poll_events (conn, conn->poll_events | POLLER_OUT);
          return TRUE;
        }
      conn->any_sent = TRUE;
      conn->sent_bytes += (gsize)count;
    }
  buffer_clear (conn->send_buffer);
  conn->sent_bytes = 0;
  conn_count (conn);
  conn_set_poll_events (conn, conn->poll_events & ~POLLER_OUT);
  return TRUE;
}

/* Handle the end of a connection attempt.  Return FALSE if it failed.  */
static gboolean
finish_connect (struct conn *conn)
{
  GError *error = NULL;

  if (!g_socket_check_connect_result (conn->socket, &error))
    {
      g_error_free (error);
      conn_fail (conn, ERR_REFUSED);
      return FALSE;
    }
  conn->connected = TRUE;
  if (!conn->read_paused)
    conn_set_poll_events (conn, conn->poll_events | POLLER_IN);
  conn_notify (conn, CONN_CONNECTED, ERR_NONE);
  return conn->socket != NULL;
}

/* Handle a writable socket: finish the connection attempt or send queued
   bytes.  */
static void
on_writable (struct conn *conn)
{
  if (conn->connected || finish_connect (conn))
    if (send_queued (conn) && conn->send_buffer->len == 0)
      conn_notify (conn, CONN_DRAINED, ERR_NONE);
}

/* Handle READY, the POLLER_ events of the socket.  */
static void
on_ready (guint32 ready, gpointer data)
{
  struct conn *conn = data;

  conn->ref_count++;
  if (ready & POLLER_OUT)
    on_writable (conn);
  if ((ready & POLLER_HANGUP) && (conn->poll_events & POLLER_HANGUP))
    conn_fail (conn, ERR_CLOSED);
  if ((ready & POLLER_IN) && (conn->poll_events & POLLER_IN))
    read_socket (conn);
  conn_unref (conn);
}

/* Poll the socket for the POLLER_ events in WANTED.  */
void
conn_set_poll_events (struct conn *conn, guint32 wanted)
{
  if (conn->socket == NULL || conn->poll_events == wanted)
    return;
  conn->poll_events = wanted;
  if (handle_is_set (conn->poll_handle))
    poller_set_events (conn->poll_handle, wanted);
  else
    conn->poll_handle
        = poller_add (g_socket_get_fd (conn->socket), wanted, on_ready, conn);
}

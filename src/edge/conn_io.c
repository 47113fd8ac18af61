#include "edge/conn_io.h"

#define READ_BYTES 65536 /* bytes read at a time */

/* Read what has come.  Return FALSE once the connection has ended.  */
static gboolean
read_some (struct conn *conn)
{
  guint before = conn->receive_buffer->len;
  GError *error = NULL;
  gssize got;

  g_byte_array_set_size (conn->receive_buffer, before + READ_BYTES);
  got = g_socket_receive (conn->socket,
                          (char *)conn->receive_buffer->data + before,
                          READ_BYTES, NULL, &error);
  g_byte_array_set_size (conn->receive_buffer,
                         before + (got > 0 ? (guint)got : 0u));
  if (got > 0)
    {
      conn_notify (conn, CONN_RECEIVED, ERR_NONE);
      return TRUE;
    }
  if (got < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_error_free (error);
      return TRUE;
    }
  conn_fail (conn, got == 0 ? ERR_CLOSED : ERR_IO);
  g_clear_error (&error);
  return FALSE;
}

/* Send what is queued as far as the socket takes it.  Return FALSE once the
   connection has ended.  */
static gboolean
send_some (struct conn *conn)
{
  GError *error = NULL;
  gssize put;

  while (conn->sent_bytes < conn->send_buffer->len)
    {
      put = g_socket_send (
          conn->socket, (char *)conn->send_buffer->data + conn->sent_bytes,
          conn->send_buffer->len - conn->sent_bytes, NULL, &error);
      if (put < 0)
        {
          gboolean full
              = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
          g_clear_error (&error);
          if (!full)
            {
              conn_fail (conn, ERR_CLOSED);
              return FALSE;
            }
          conn_set_poll_events (conn, conn->poll_events | POLLER_OUT);
          return TRUE;
        }
      conn->any_sent = TRUE;
      conn->sent_bytes += (gsize)put;
    }
  g_byte_array_set_size (conn->send_buffer, 0);
  conn->sent_bytes = 0;
  conn_set_poll_events (conn, conn->poll_events & ~POLLER_OUT);
  return TRUE;
}

/* The connection attempt has ended.  Return FALSE if it failed.  */
static gboolean
finish_open (struct conn *conn)
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

/* There is room to write, or the attempt to connect has ended.  */
static void
on_writable (struct conn *conn)
{
  if (conn->connected || finish_open (conn))
    if (send_some (conn) && conn->send_buffer->len == 0)
      conn_notify (conn, CONN_DRAINED, ERR_NONE);
}

/* The socket is READY.  */
static void
on_ready (guint32 ready, gpointer data)
{
  struct conn *conn = data;

  conn->ref_count++;
  if (ready & POLLER_OUT)
    on_writable (conn);
  if ((ready & POLLER_IN) && (conn->poll_events & POLLER_IN))
    read_some (conn);
  conn_unref (conn);
}

/* Watch the socket for what is WANTED, POLLER_ bits.  */
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

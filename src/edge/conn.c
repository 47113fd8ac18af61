#include "edge/conn.h"

#include "edge/inet.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define READ_BYTES 65536 /* bytes read at a time */

static void watch_in (struct conn *conn);
static void watch_out (struct conn *conn);

/* Lifetime */

/* Drop a reference; the last one frees the connection.  */
void
conn_unref (struct conn *conn)
{
  if (--conn->refs > 0)
    return;
  g_byte_array_unref (conn->received);
  g_byte_array_unref (conn->queued);
  g_free (conn);
}

/* Stop and drop a watch.  */
static void
drop_source (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_source_unref (*source);
  *source = NULL;
}

/* Close the socket and its watches.  */
static void
shut (struct conn *conn)
{
  drop_source (&conn->in);
  drop_source (&conn->out);
  if (conn->socket == NULL)
    return;
  g_socket_close (conn->socket, NULL);
  g_clear_object (&conn->socket);
}

/* Close CONN and drop the owner's reference; no further event is told.  */
void
conn_close (struct conn *conn)
{
  shut (conn);
  conn->fn = NULL;
  conn_unref (conn);
}

/* Tell the owner of an event.  */
static void
tell (struct conn *conn, enum conn_event_kind kind, enum err code)
{
  struct conn_event event = { kind, code };

  if (conn->fn != NULL)
    conn->fn (conn, &event, conn->data);
}

/* Note that the connection has ended, and tell the owner.  */
static void
fail (struct conn *conn, enum err code)
{
  shut (conn);
  tell (conn, CONN_CLOSED, code);
}

/* Make a connection around SOCKET.  */
static struct conn *
conn_new (GSocket *socket, conn_event_fn *fn, gpointer data)
{
  struct conn *conn = g_new0 (struct conn, 1);

  conn->refs = 1;
  conn->socket = socket;
  conn->received = g_byte_array_new ();
  conn->queued = g_byte_array_new ();
  conn->fn = fn;
  conn->data = data;
  if (socket != NULL)
    {
      g_socket_set_blocking (socket, FALSE);
      g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    }
  return conn;
}

/* Reading and writing */

/* Read what has come.  Return FALSE once the connection has ended.  */
static gboolean
read_some (struct conn *conn)
{
  guint before = conn->received->len;
  GError *error = NULL;
  gssize got;

  g_byte_array_set_size (conn->received, before + READ_BYTES);
  got = g_socket_receive (conn->socket, (char *)conn->received->data + before,
                          READ_BYTES, NULL, &error);
  g_byte_array_set_size (conn->received, before + (got > 0 ? (guint)got : 0u));
  if (got > 0)
    {
      tell (conn, CONN_RECEIVED, ERR_NONE);
      return TRUE;
    }
  if (got < 0 && g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_error_free (error);
      return TRUE;
    }
  g_clear_error (&error);
  fail (conn, ERR_CLOSED);
  return FALSE;
}

/* There is something to read.  */
static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct conn *conn = data;

  (void)socket;
  (void)condition;
  conn->refs++;
  read_some (conn);
  conn_unref (conn);
  return G_SOURCE_CONTINUE;
}

/* Send what is queued as far as the socket takes it.  Return FALSE once the
   connection has ended.  */
static gboolean
send_some (struct conn *conn)
{
  GError *error = NULL;
  gssize put;

  while (conn->queued_at < conn->queued->len)
    {
      put = g_socket_send (conn->socket,
                           (char *)conn->queued->data + conn->queued_at,
                           conn->queued->len - conn->queued_at, NULL, &error);
      if (put < 0)
        {
          gboolean full
              = g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
          g_clear_error (&error);
          if (!full)
            {
              fail (conn, ERR_CLOSED);
              return FALSE;
            }
          watch_out (conn);
          return TRUE;
        }
      conn->sent = TRUE;
      conn->queued_at += (gsize)put;
    }
  g_byte_array_set_size (conn->queued, 0);
  conn->queued_at = 0;
  drop_source (&conn->out);
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
      fail (conn, ERR_REFUSED);
      return FALSE;
    }
  conn->opened = TRUE;
  if (!conn->paused)
    watch_in (conn);
  tell (conn, CONN_OPENED, ERR_NONE);
  return conn->socket != NULL;
}

/* There is room to write, or the attempt to connect has ended.  */
static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct conn *conn = data;

  (void)socket;
  (void)condition;
  conn->refs++;
  if (conn->opened || finish_open (conn))
    if (send_some (conn) && conn->queued->len == 0)
      tell (conn, CONN_DRAINED, ERR_NONE);
  conn_unref (conn);
  return G_SOURCE_CONTINUE;
}

/* Watch for CONDITION.  */
static GSource *
watch (struct conn *conn, GIOCondition condition, GSocketSourceFunc fn)
{
  GSource *source = g_socket_create_source (conn->socket, condition, NULL);

  g_source_set_callback (source, G_SOURCE_FUNC (fn), conn, NULL);
  g_source_attach (source, NULL);
  return source;
}

/* Watch for bytes to read.  */
static void
watch_in (struct conn *conn)
{
  if (conn->in == NULL && conn->socket != NULL)
    conn->in = watch (conn, G_IO_IN, on_readable);
}

/* Watch for room to write.  */
static void
watch_out (struct conn *conn)
{
  if (conn->out == NULL && conn->socket != NULL)
    conn->out = watch (conn, G_IO_OUT, on_writable);
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
  GSocketAddress *address = inet_address (to);

  if (socket != NULL)
    {
      g_socket_connect (socket, address, NULL, NULL);
      watch_out (conn);
    }
  g_object_unref (address);
  return conn;
}

/* Make a connection of an accepted SOCKET, whose reference it takes.  */
struct conn *
conn_adopt (GSocket *socket, conn_event_fn *fn, gpointer data)
{
  struct conn *conn = conn_new (socket, fn, data);

  conn->opened = TRUE;
  watch_in (conn);
  return conn;
}

/* Tell another owner from now on.  */
void
conn_watch (struct conn *conn, conn_event_fn *fn, gpointer data)
{
  conn->fn = fn;
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
  if (conn->opened && conn->queued->len == 0)
    {
      gssize put = g_socket_send (conn->socket, (const char *)bytes, length,
                                  NULL, NULL);
      if (put > 0)
        {
          conn->sent = TRUE;
          bytes += put;
          length -= (gsize)put;
        }
    }
  if (length == 0)
    return;
  g_byte_array_append (conn->queued, bytes, (guint)length);
  watch_out (conn);
}

/* Bytes that are queued and not sent.  */
gsize
conn_unsent (const struct conn *conn)
{
  return conn->queued->len - conn->queued_at;
}

/* Take LENGTH bytes off the front of what was received.  */
void
conn_take (struct conn *conn, gsize length)
{
  if (length > 0)
    g_byte_array_remove_range (conn->received, 0, (guint)length);
}

/* Stop or go on reading.  */
void
conn_pause (struct conn *conn, gboolean paused)
{
  conn->paused = paused;
  if (paused)
    drop_source (&conn->in);
  else if (conn->opened)
    watch_in (conn);
}

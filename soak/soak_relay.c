#include "soak/soak_relay.h"

#include <string.h>

#define SLOW_MSEC 250u /* bytes are that late */

/* One connection through the relay.  */
struct soak_pipe
{
  struct soak_relay *relay; /* whose */
  struct conn *near;        /* from the caller */
  struct conn *far;         /* to what was called */
  guint refs;               /* bytes that are late, and itself */
};

/* Bytes that are passed on late.  */
struct soak_late
{
  struct soak_pipe *pipe; /* where */
  gboolean forth;         /* towards what was called */
  GBytes *bytes;          /* they */
};

/* Drop a reference to PIPE.  */
static void
pipe_unref (struct soak_pipe *pipe)
{
  if (--pipe->refs == 0)
    g_free (pipe);
}

/* End both connections; for GPtrArray.  */
static void
close_pipe (gpointer data)
{
  struct soak_pipe *pipe = data;

  conn_close (pipe->near);
  conn_close (pipe->far);
  pipe->near = NULL;
  pipe->far = NULL;
  pipe_unref (pipe);
}

/* Pass late bytes on.  */
static gboolean
on_late (gpointer data)
{
  struct soak_late *late = data;
  struct conn *to = late->forth ? late->pipe->far : late->pipe->near;
  gsize length;
  const guint8 *bytes = g_bytes_get_data (late->bytes, &length);

  if (to != NULL)
    conn_send (to, bytes, length);
  g_bytes_unref (late->bytes);
  pipe_unref (late->pipe);
  g_free (late);
  return G_SOURCE_REMOVE;
}

/* Pass on what CONN has received.  */
static void
pass (struct soak_pipe *pipe, struct conn *conn)
{
  gboolean forth = conn == pipe->near;
  struct soak_late *late;

  switch (pipe->relay->mode)
    {
    case SOAK_RELAY_WELL:
      conn_send (forth ? pipe->far : pipe->near, conn->receive_buffer->data,
                 conn->receive_buffer->len);
      break;
    case SOAK_RELAY_SLOW:
      late = g_new0 (struct soak_late, 1);
      late->pipe = pipe;
      late->forth = forth;
      late->bytes = g_bytes_new (conn->receive_buffer->data, conn->receive_buffer->len);
      pipe->refs++;
      g_timeout_add (SLOW_MSEC, on_late, late);
      break;
    case SOAK_RELAY_ONE_WAY:
      if (forth)
        conn_send (pipe->far, conn->receive_buffer->data, conn->receive_buffer->len);
      break;
    case SOAK_RELAY_SILENT:
    case SOAK_RELAY_RESET:
      break;
    }
  conn_consume (conn, conn->receive_buffer->len);
}

/* Something happened on one of the two connections.  */
static void
on_event (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct soak_pipe *pipe = data;

  switch (event->kind)
    {
    case CONN_RECEIVED:
      pass (pipe, conn);
      break;
    case CONN_CLOSED:
      g_ptr_array_remove_fast (pipe->relay->pipes, pipe);
      break;
    case CONN_CONNECTED:
    case CONN_DRAINED:
      break;
    }
}

/* A caller connects.  */
static gboolean
on_acceptable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct soak_relay *relay = data;
  GSocket *near = g_socket_accept (socket, NULL, NULL);
  struct soak_pipe *pipe;

  (void)condition;
  if (near == NULL)
    return G_SOURCE_CONTINUE;
  if (relay->mode == SOAK_RELAY_RESET)
    {
      g_object_unref (near);
      return G_SOURCE_CONTINUE;
    }
  pipe = g_new0 (struct soak_pipe, 1);
  pipe->relay = relay;
  pipe->refs = 1;
  pipe->near = conn_adopt (near, on_event, pipe);
  pipe->far = conn_open (relay->to, on_event, pipe);
  g_ptr_array_add (relay->pipes, pipe);
  return G_SOURCE_CONTINUE;
}

/* Do what MODE says from now on.  */
void
soak_relay_set (struct soak_relay *relay, enum soak_relay_mode mode)
{
  relay->mode = mode;
  if (mode == SOAK_RELAY_RESET)
    g_ptr_array_set_size (relay->pipes, 0);
}

/* Relay from AT to TO; FALSE if nothing can listen there.  */
gboolean
soak_relay_init (struct soak_relay *relay, struct address at,
                 struct address to)
{
  enum err code;

  memset (relay, 0, sizeof *relay);
  relay->to = to;
  relay->pipes = g_ptr_array_new_with_free_func (close_pipe);
  relay->listener = conn_listen (at, &code);
  if (relay->listener == NULL)
    return FALSE;
  relay->accept = g_socket_create_source (relay->listener, G_IO_IN, NULL);
  g_source_set_callback (relay->accept, G_SOURCE_FUNC (on_acceptable), relay,
                         NULL);
  g_source_attach (relay->accept, NULL);
  return TRUE;
}

/* End all connections and stop.  */
void
soak_relay_clear (struct soak_relay *relay)
{
  g_ptr_array_free (relay->pipes, TRUE);
  if (relay->accept != NULL)
    {
      g_source_destroy (relay->accept);
      g_source_unref (relay->accept);
    }
  g_clear_object (&relay->listener);
}

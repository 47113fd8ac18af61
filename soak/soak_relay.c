#include "soak/soak_relay.h"

#include <string.h>

#define SLOW_MSEC 250u /* bytes are that late */

/* One connection through the relay.  */
struct soak_relay_pair
{
  struct soak_relay *relay; /* whose */
  struct conn *caller_conn; /* from the caller */
  struct conn *target_conn; /* to what was called */
  guint ref_count;          /* bytes that are late, and itself */
};

/* Bytes that are passed on late.  */
struct soak_delayed
{
  struct soak_relay_pair *pipe; /* where */
  gboolean to_target;           /* towards what was called */
  GBytes *bytes;                /* they */
};

/* Drop a reference to PIPE.  */
static void
pipe_unref (struct soak_relay_pair *pipe)
{
  if (--pipe->ref_count == 0)
    g_free (pipe);
}

/* End both connections; for GPtrArray.  */
static void
close_pipe (gpointer data)
{
  struct soak_relay_pair *pipe = data;

  conn_close (pipe->caller_conn);
  conn_close (pipe->target_conn);
  pipe->caller_conn = NULL;
  pipe->target_conn = NULL;
  pipe_unref (pipe);
}

/* Pass late bytes on.  */
static gboolean
on_late (gpointer data)
{
  struct soak_delayed *late = data;
  struct conn *to
      = late->to_target ? late->pipe->target_conn : late->pipe->caller_conn;
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
pass (struct soak_relay_pair *pipe, struct conn *conn)
{
  gboolean forth = conn == pipe->caller_conn;
  struct soak_delayed *late;

  switch (pipe->relay->mode)
    {
    case SOAK_RELAY_NORMAL:
      conn_send (forth ? pipe->target_conn : pipe->caller_conn,
                 conn->receive_buffer->data, conn->receive_buffer->len);
      break;
    case SOAK_RELAY_DELAY:
      late = g_new0 (struct soak_delayed, 1);
      late->pipe = pipe;
      late->to_target = forth;
      late->bytes = g_bytes_new (conn->receive_buffer->data,
                                 conn->receive_buffer->len);
      pipe->ref_count++;
      g_timeout_add (SLOW_MSEC, on_late, late);
      break;
    case SOAK_RELAY_DROP_ANSWERS:
      if (forth)
        conn_send (pipe->target_conn, conn->receive_buffer->data,
                   conn->receive_buffer->len);
      break;
    case SOAK_RELAY_DROP:
    case SOAK_RELAY_RESET:
      break;
    }
  conn_consume (conn, conn->receive_buffer->len);
}

/* Something happened on one of the two connections.  */
static void
on_event (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct soak_relay_pair *pipe = data;

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
  struct soak_relay_pair *pipe;

  (void)condition;
  if (near == NULL)
    return G_SOURCE_CONTINUE;
  if (relay->mode == SOAK_RELAY_RESET)
    {
      g_object_unref (near);
      return G_SOURCE_CONTINUE;
    }
  pipe = g_new0 (struct soak_relay_pair, 1);
  pipe->relay = relay;
  pipe->ref_count = 1;
  pipe->caller_conn = conn_adopt (near, on_event, pipe);
  pipe->target_conn = conn_open (relay->target_address, on_event, pipe);
  g_ptr_array_add (relay->pipes, pipe);
  return G_SOURCE_CONTINUE;
}

/* Do what MODE says from now on.  */
void
soak_relay_set_mode (struct soak_relay *relay, enum soak_relay_mode mode)
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
  relay->target_address = to;
  relay->pipes = g_ptr_array_new_with_free_func (close_pipe);
  relay->listener = conn_listen (at, &code);
  if (relay->listener == NULL)
    return FALSE;
  relay->accept_source
      = g_socket_create_source (relay->listener, G_IO_IN, NULL);
  g_source_set_callback (relay->accept_source, G_SOURCE_FUNC (on_acceptable),
                         relay, NULL);
  g_source_attach (relay->accept_source, NULL);
  return TRUE;
}

/* End all connections and stop.  */
void
soak_relay_clear (struct soak_relay *relay)
{
  g_ptr_array_free (relay->pipes, TRUE);
  if (relay->accept_source != NULL)
    {
      g_source_destroy (relay->accept_source);
      g_source_unref (relay->accept_source);
    }
  g_clear_object (&relay->listener);
}

#include "soak/soak_relay.h"

#include <string.h>

#define SLOW_MSEC 250u /* delay of bytes in the mode SOAK_RELAY_DELAY */

/* A connection through the relay, which consists of two.  */
struct soak_pipe
{
  struct soak_relay *relay; /* relay that the pair belongs to */
  struct conn *near;        /* connection from the caller */
  struct conn *far;         /* connection to the target */
  guint refs; /* references: one of the relay and one for each struct
                 soak_delayed */
};

/* Bytes that are passed on after a delay.  */
struct soak_late
{
  struct soak_pipe *pipe; /* pair that the bytes belong to */
  gboolean forth; /* the bytes go to the target, or else to the caller */
  GBytes *bytes;  /* bytes to pass on */
};

/* Drop a reference to PAIR.  */
static void
pipe_unref (struct soak_pipe *pipe)
{
  if (--pipe->refs == 0)
    g_free (pipe);
}

/* Close both connections of a pair; for GPtrArray.  */
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

/* Pass delayed bytes on.  Timer callback.  */
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

/* Treat the bytes that CONN has received as the relay's mode says.  */
static void
pass (struct soak_pipe *pipe, struct conn *conn)
{
  gboolean forth = conn == pipe->near;
  struct soak_late *late;

  switch (pipe->relay->mode)
    {
    case SOAK_RELAY_WELL:
      conn_send (forth ? pipe->far : pipe->near, conn->received->data,
                 conn->received->len);
      break;
    case SOAK_RELAY_SLOW:
      late = g_new0 (struct soak_late, 1);
      late->pipe = pipe;
      late->forth = forth;
      late->bytes = g_bytes_new (conn->received->data, conn->received->len);
      pipe->refs++;
      g_timeout_add (SLOW_MSEC, on_late, late);
      break;
    case SOAK_RELAY_ONE_WAY:
      if (forth)
        conn_send (pipe->far, conn->received->data, conn->received->len);
      break;
    case SOAK_RELAY_SILENT:
    case SOAK_RELAY_RESET:
      break;
    }
  conn_take (conn, conn->received->len);
}

/* Handle an event of one of the two connections of a pair.  */
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
    case CONN_OPENED:
    case CONN_DRAINED:
      break;
    }
}

/* Accept a connection and open one to the target.  */
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

/* Set the mode of RELAY.  */
void
soak_relay_set (struct soak_relay *relay, enum soak_relay_mode mode)
{
  relay->mode = mode;
  if (mode == SOAK_RELAY_RESET)
    g_ptr_array_set_size (relay->pipes, 0);
}

/* Relay connections to the address AT to the address TO.  Return FALSE if AT
   cannot be listened on.  */
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

/* Close all connections and stop listening.  */
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

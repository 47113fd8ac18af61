#include "soak/soak_relay.h"

#include <string.h>

#define DELAY_MSEC 250u /* delay of bytes in the mode SOAK_RELAY_DELAY */

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
  struct soak_pipe *pair; /* pair that the bytes belong to */
  gboolean to_target; /* the bytes go to the target, or else to the caller */
  GBytes *bytes;      /* bytes to pass on */
};

/* Drop a reference to PAIR.  */
static void
pair_unref (struct soak_pipe *pair)
{
  if (--pair->refs == 0)
    g_free (pair);
}

/* Close both connections of a pair; for GPtrArray.  */
static void
close_pair (gpointer data)
{
  struct soak_pipe *pair = data;

  conn_close (pair->near);
  conn_close (pair->far);
  pair->near = NULL;
  pair->far = NULL;
  pair_unref (pair);
}

/* Pass delayed bytes on.  Timer callback.  */
static gboolean
on_delay_over (gpointer data)
{
  struct soak_late *delayed = data;
  struct conn *conn
      = delayed->to_target ? delayed->pair->far : delayed->pair->near;
  gsize length;
  const guint8 *bytes = g_bytes_get_data (delayed->bytes, &length);

  if (conn != NULL)
    conn_send (conn, bytes, length);
  g_bytes_unref (delayed->bytes);
  pair_unref (delayed->pair);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

/* Treat the bytes that CONN has received as the relay's mode says.  */
static void
forward (struct soak_pipe *pair, struct conn *conn)
{
  gboolean to_target = conn == pair->near;
  struct soak_late *delayed;

  switch (pair->relay->mode)
    {
    case SOAK_RELAY_WELL:
      conn_send (to_target ? pair->far : pair->near, conn->received->data,
                 conn->received->len);
      break;
    case SOAK_RELAY_SLOW:
      delayed = g_new0 (struct soak_late, 1);
      delayed->pair = pair;
      delayed->to_target = to_target;
      delayed->bytes = g_bytes_new (conn->received->data, conn->received->len);
      pair->refs++;
      g_timeout_add (DELAY_MSEC, on_delay_over, delayed);
      break;
    case SOAK_RELAY_ONE_WAY:
      if (to_target)
        conn_send (pair->far, conn->received->data, conn->received->len);
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
  struct soak_pipe *pair = data;

  switch (event->kind)
    {
    case CONN_RECEIVED:
      forward (pair, conn);
      break;
    case CONN_CLOSED:
      g_ptr_array_remove_fast (pair->relay->pairs, pair);
      break;
    case CONN_OPENED:
    case CONN_DRAINED:
      break;
    }
}

/* Accept a connection and open one to the target.  */
static gboolean
on_incoming (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct soak_relay *relay = data;
  GSocket *accepted = g_socket_accept (socket, NULL, NULL);
  struct soak_pipe *pair;

  (void)condition;
  if (accepted == NULL)
    return G_SOURCE_CONTINUE;
  if (relay->mode == SOAK_RELAY_RESET)
    {
      g_object_unref (accepted);
      return G_SOURCE_CONTINUE;
    }
  pair = g_new0 (struct soak_pipe, 1);
  pair->relay = relay;
  pair->refs = 1;
  pair->near = conn_adopt (accepted, on_event, pair);
  pair->far = conn_open (relay->to, on_event, pair);
  g_ptr_array_add (relay->pairs, pair);
  return G_SOURCE_CONTINUE;
}

/* Set the mode of RELAY.  */
void
soak_relay_set (struct soak_relay *relay, enum soak_relay_mode mode)
{
  relay->mode = mode;
  if (mode == SOAK_RELAY_RESET)
    g_ptr_array_set_size (relay->pairs, 0);
}

/* Relay connections to LISTEN_ADDRESS to TARGET_ADDRESS.  Return FALSE if that
   cannot be listened on.  */
gboolean
soak_relay_init (struct soak_relay *relay, struct address listen_address,
                 struct address target_address)
{
  enum err code;

  memset (relay, 0, sizeof *relay);
  relay->to = target_address;
  relay->pairs = g_ptr_array_new_with_free_func (close_pair);
  relay->listener = conn_listen (listen_address, &code);
  if (relay->listener == NULL)
    return FALSE;
  relay->accept = g_socket_create_source (relay->listener, G_IO_IN, NULL);
  g_source_set_callback (relay->accept, G_SOURCE_FUNC (on_incoming), relay,
                         NULL);
  g_source_attach (relay->accept, NULL);
  return TRUE;
}

/* Close all connections and stop listening.  */
void
soak_relay_clear (struct soak_relay *relay)
{
  g_ptr_array_free (relay->pairs, TRUE);
  if (relay->accept != NULL)
    {
      g_source_destroy (relay->accept);
      g_source_unref (relay->accept);
    }
  g_clear_object (&relay->listener);
}

#include "soak/soak_relay.h"

#include <string.h>

#define DELAY_MSEC 250u /* delay of bytes in the mode SOAK_RELAY_DELAY */

/* A connection through the relay, which consists of two.  */
struct soak_relay_pair
{
  struct soak_relay *relay; /* relay that the pair belongs to */
  struct conn *caller_conn; /* connection from the caller */
  struct conn *target_conn; /* connection to the target */
  guint ref_count;          /* one of the relay, one for each soak_delayed */
};

/* Bytes that are passed on after a delay.  */
struct soak_delayed
{
  struct soak_relay_pair *pair; /* pair that the bytes belong to */
  gboolean to_target;           /* receiver: the target, or else the caller */
  GBytes *bytes;                /* bytes to pass on */
};

/* Drop a reference to PAIR.  */
static void
pair_unref (struct soak_relay_pair *pair)
{
  if (--pair->ref_count == 0)
    g_free (pair);
}

/* Close both connections of a pair; for GPtrArray.  */
static void
close_pair (gpointer data)
{
  struct soak_relay_pair *pair = data;

  conn_close (pair->caller_conn);
  conn_close (pair->target_conn);
  pair->caller_conn = NULL;
  pair->target_conn = NULL;
  pair_unref (pair);
}

/* Pass delayed bytes on.  Timer callback.  */
static gboolean
on_delay_over (gpointer data)
{
  struct soak_delayed *delayed = data;
  struct conn *conn = delayed->to_target ? delayed->pair->target_conn
                                         : delayed->pair->caller_conn;
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
forward (struct soak_relay_pair *pair, struct conn *conn)
{
  gboolean to_target = conn == pair->caller_conn;
  struct soak_delayed *delayed;

  switch (pair->relay->mode)
    {
    case SOAK_RELAY_NORMAL:
      conn_send (to_target ? pair->target_conn : pair->caller_conn,
                 conn->receive_buffer->data, conn->receive_buffer->len);
      break;
    case SOAK_RELAY_DELAY:
      delayed = g_new0 (struct soak_delayed, 1);
      delayed->pair = pair;
      delayed->to_target = to_target;
      delayed->bytes = g_bytes_new (conn->receive_buffer->data,
                                    conn->receive_buffer->len);
      pair->ref_count++;
      g_timeout_add (DELAY_MSEC, on_delay_over, delayed);
      break;
    case SOAK_RELAY_DROP_ANSWERS:
      if (to_target)
        conn_send (pair->target_conn, conn->receive_buffer->data,
                   conn->receive_buffer->len);
      break;
    case SOAK_RELAY_DROP:
    case SOAK_RELAY_RESET:
      break;
    }
  conn_consume (conn, conn->receive_buffer->len);
}

/* Handle an event of one of the two connections of a pair.  */
static void
on_event (struct conn *conn, const struct conn_event *event, gpointer data)
{
  struct soak_relay_pair *pair = data;

  switch (event->kind)
    {
    case CONN_RECEIVED:
      forward (pair, conn);
      break;
    case CONN_CLOSED:
      g_ptr_array_remove_fast (pair->relay->pairs, pair);
      break;
    case CONN_CONNECTED:
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
  struct soak_relay_pair *pair;

  (void)condition;
  if (accepted == NULL)
    return G_SOURCE_CONTINUE;
  if (relay->mode == SOAK_RELAY_RESET)
    {
      g_object_unref (accepted);
      return G_SOURCE_CONTINUE;
    }
  pair = g_new0 (struct soak_relay_pair, 1);
  pair->relay = relay;
  pair->ref_count = 1;
  pair->caller_conn = conn_adopt (accepted, on_event, pair);
  pair->target_conn = conn_open (relay->target_address, on_event, pair);
  g_ptr_array_add (relay->pairs, pair);
  return G_SOURCE_CONTINUE;
}

/* Set the mode of RELAY.  */
void
soak_relay_set_mode (struct soak_relay *relay, enum soak_relay_mode mode)
{
  relay->mode = mode;
  if (mode == SOAK_RELAY_RESET)
    g_ptr_array_set_size (relay->pairs, 0);
}

/* Relay connections from LISTEN_ADDRESS to TARGET_ADDRESS.  Return FALSE if
   LISTEN_ADDRESS cannot be listened on.  */
gboolean
soak_relay_init (struct soak_relay *relay, struct address listen_address,
                 struct address target_address)
{
  enum err code;

  memset (relay, 0, sizeof *relay);
  relay->target_address = target_address;
  relay->pairs = g_ptr_array_new_with_free_func (close_pair);
  relay->listener = conn_listen (listen_address, &code);
  if (relay->listener == NULL)
    return FALSE;
  relay->accept_source
      = g_socket_create_source (relay->listener, G_IO_IN, NULL);
  g_source_set_callback (relay->accept_source, G_SOURCE_FUNC (on_incoming),
                         relay, NULL);
  g_source_attach (relay->accept_source, NULL);
  return TRUE;
}

/* Close all connections and stop listening.  */
void
soak_relay_clear (struct soak_relay *relay)
{
  g_ptr_array_free (relay->pairs, TRUE);
  if (relay->accept_source != NULL)
    {
      g_source_destroy (relay->accept_source);
      g_source_unref (relay->accept_source);
    }
  g_clear_object (&relay->listener);
}

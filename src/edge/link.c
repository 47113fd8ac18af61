#include "edge/link_table.h"

#include <string.h>

/* Ending */

/* Tell that the call WAITING will get no reply.  */
void
link_fail_call (struct links *links, struct handle h,
                const struct link_call *waiting, enum err code)
{
  struct link_event event = { .kind = LINK_REPLY,
                              .link = h,
                              .xid = waiting->xid,
                              .procedure = waiting->procedure,
                              .tag = waiting->tag,
                              .code = code };

  links->fn (&event, links->data);
}

/* Forget a connection that has ended and tell whose calls are lost.  */
void
link_close (struct link *link, enum err code)
{
  struct links *links = link->links;
  struct handle h = link->self;
  GHashTable *calls = link->pending_calls;
  struct link_event event = { .kind = LINK_CLOSED, .link = h };
  GHashTableIter iter;
  gpointer value;

  if (link->conn->connected)
    code = ERR_CLOSED;
  conn_close (link->conn);
  table_remove (&links->link_table, h);
  g_hash_table_iter_init (&iter, calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    link_fail_call (links, h, value, code);
  g_hash_table_destroy (calls);
  links->fn (&event, links->data);
}

/* Messages */

/* Take in one message.  Return FALSE if the connection must end.  */
static gboolean
take_message (struct link *link, const guint8 *bytes, gsize length)
{
  struct links *links = link->links;
  struct rpc_header header;
  struct link_event event = { .link = link->self };
  struct link_call *waiting;

  if (rpc_read_header (bytes, length, &header) != ERR_NONE)
    return FALSE;
  link->expires_at = 0;
  event.xid = header.xid;
  event.bytes = bytes + header.length;
  event.length = length - header.length;
  if (header.is_call)
    {
      event.kind = LINK_CALL;
      event.procedure = header.procedure;
      links->fn (&event, links->data);
      return TRUE;
    }
  waiting = g_hash_table_lookup (link->pending_calls,
                                 GUINT_TO_POINTER (header.xid));
  if (waiting == NULL)
    return TRUE;
  event.kind = LINK_REPLY;
  event.code = header.code;
  event.procedure = waiting->procedure;
  event.tag = waiting->tag;
  g_hash_table_remove (link->pending_calls, GUINT_TO_POINTER (header.xid));
  links->fn (&event, links->data);
  return TRUE;
}

/* Take in the messages that have come whole.  */
static void
take_messages (struct link *link)
{
  struct links *links = link->links;
  struct handle h = link->self;
  struct conn *conn = link->conn;
  gsize at = 0;

  conn->ref_count++;
  while (conn->receive_buffer->len - at >= RPC_RECORD_MARK_BYTES)
    {
      guint32 mark;
      gsize length;
      memcpy (&mark, conn->receive_buffer->data + at, sizeof mark);
      length = GUINT32_FROM_BE (mark) & 0x7fffffffu;
      if (length > RPC_MESSAGE_BYTES_MAX)
        {
          link_close (link, ERR_TOO_LARGE);
          at = conn->receive_buffer->len;
          break;
        }
      if (conn->receive_buffer->len - at - RPC_RECORD_MARK_BYTES < length)
        break;
      if (!take_message (
              link, conn->receive_buffer->data + at + RPC_RECORD_MARK_BYTES,
              length))
        {
          link_close (link, ERR_MALFORMED);
          at = conn->receive_buffer->len;
          break;
        }
      at += RPC_RECORD_MARK_BYTES + length;
      if (table_get (&links->link_table, h) == NULL)
        break;
    }
  conn_consume (conn, MIN (at, conn->receive_buffer->len));
  conn_unref (conn);
}

/* Something happened on a connection.  */
static void
on_link_event (struct conn *conn, const struct conn_event *event,
               gpointer data)
{
  struct link *link = data;

  (void)conn;
  switch (event->kind)
    {
    case CONN_CONNECTED:
    case CONN_DRAINED:
      break;
    case CONN_RECEIVED:
      take_messages (link);
      break;
    case CONN_CLOSED:
      link_close (link, event->code);
      break;
    }
}

/* Connections */

/* Add a connection, to TO or, with a SOCKET, from a peer.  */
static struct link *
add_link (struct links *links, struct address to, GSocket *socket)
{
  struct handle h = table_add (&links->link_table);
  struct link *link = table_get (&links->link_table, h);

  link->links = links;
  link->self = h;
  link->peer_address = to;
  link->pending_calls = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  link->conn = socket != NULL ? conn_adopt (socket, on_link_event, link)
                              : conn_open (to, on_link_event, link);
  return link;
}

/* Find the connection that leads to TO, or make one.  */
struct link *
link_find_or_open (struct links *links, struct address to)
{
  struct handle h = table_next (&links->link_table, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&links->link_table, h))
    {
      struct link *link = table_get (&links->link_table, h);
      if (link->peer_address.port != 0 && !link->is_retired
          && address_equal (link->peer_address, to))
        return link;
    }
  return add_link (links, to, NULL);
}

/* Accept the peers that connect.  */
static gboolean
on_acceptable (GSocket *socket, GIOCondition condition, gpointer data)
{
  struct links *links = data;
  struct address none = { 0, 0 };
  GSocket *peer = g_socket_accept (socket, NULL, NULL);

  (void)condition;
  if (peer != NULL)
    add_link (links, none, peer);
  return G_SOURCE_CONTINUE;
}

/* Interface */

/* Listen at AT.  Events go to FN with DATA.  */
enum err
links_init (struct links *links, struct address at, link_event_fn *fn,
            gpointer data)
{
  enum err code;

  memset (links, 0, sizeof *links);
  table_init (&links->link_table, sizeof (struct link));
  links->fn = fn;
  links->data = data;
  links->listener = conn_listen (at, &code);
  if (links->listener == NULL)
    return code;
  links->accept_source
      = g_socket_create_source (links->listener, G_IO_IN, NULL);
  g_source_set_callback (links->accept_source, G_SOURCE_FUNC (on_acceptable),
                         links, NULL);
  g_source_attach (links->accept_source, NULL);
  return ERR_NONE;
}

/* Close all connections, untold.  */
void
links_clear (struct links *links)
{
  struct handle h = table_next (&links->link_table, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&links->link_table, h))
    {
      struct link *link = table_get (&links->link_table, h);
      conn_close (link->conn);
      g_hash_table_destroy (link->pending_calls);
    }
  table_clear (&links->link_table);
  if (links->accept_source != NULL)
    {
      g_source_destroy (links->accept_source);
      g_source_unref (links->accept_source);
    }
  g_clear_object (&links->listener);
}

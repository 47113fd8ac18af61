#include "edge/link_table.h"

#include "edge/poller.h"

#include <string.h>

/* Closing */

/* Report to the owner of LINKS that CALL, made on the connection H, failed
   with CODE.  */
void
link_fail_call (struct links *links, struct handle h,
                const struct link_call *call, enum err code)
{
  struct link_event event = { .kind = LINK_REPLY,
                              .link = h,
                              .xid = call->xid,
                              .procedure = call->procedure,
                              .tag = call->tag,
                              .code = code,
                              .unsent = call->unsent };

  links->fn (&event, links->data);
}

/* Abort the connection of LINK and remove it.  Its pending calls fail with
   CODE, or with ERR_CLOSED if the connection had been established, because
   then the call may have reached the peer.  */
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
  conn_abort (link->conn);
  table_remove (&links->link_table, h);
  g_hash_table_iter_init (&iter, calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    link_fail_call (links, h, value, code);
  g_hash_table_destroy (calls);
  links->fn (&event, links->data);
}

/* Messages */

/* Dispatch one RPC message.  Return FALSE if it is malformed and the
   connection must be closed.  */
static gboolean
handle_message (struct link *link, const guint8 *bytes, gsize length)
{
  struct links *links = link->links;
  struct rpc_header header;
  struct link_event event = { .link = link->self };
  struct link_call *call;

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
  call = g_hash_table_lookup (link->pending_calls,
                              GUINT_TO_POINTER (header.xid));
  if (call == NULL)
    return TRUE;
  event.kind = LINK_REPLY;
  event.code = header.code;
  event.procedure = call->procedure;
  event.tag = call->tag;
  g_hash_table_remove (link->pending_calls, GUINT_TO_POINTER (header.xid));
  links->fn (&event, links->data);
  return TRUE;
}

/* Dispatch all messages that have been received completely, and report
   LINK_BATCH_END after the last one.  A handler may close the connection
   meanwhile, hence the reference to it, or suspend it, since the peer does not
   read its replies.  */
static void
handle_received (struct link *link)
{
  struct links *links = link->links;
  struct handle h = link->self;
  struct conn *conn = link->conn;
  struct link_event end = { .kind = LINK_BATCH_END, .link = h };
  gsize at = 0;

  conn->ref_count++;
  while (!conn->read_paused
         && conn->receive_buffer->len - at >= RPC_RECORD_MARK_BYTES)
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
      if (!handle_message (
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
  links->fn (&end, links->data);
}

/* Handle an event of a connection.  */
static void
on_link_event (struct conn *conn, const struct conn_event *event,
               gpointer data)
{
  struct link *link = data;

  switch (event->kind)
    {
    case CONN_CONNECTED:
      break;
    case CONN_DRAINED:
      if (!conn->read_paused)
        break;
      conn_pause (conn, FALSE);
      handle_received (link);
      break;
    case CONN_RECEIVED:
      handle_received (link);
      break;
    case CONN_CLOSED:
      link_close (link, event->code);
      break;
    }
}

/* Connections */

/* Add a connection: an accepted one if SOCKET is not NULL, otherwise a new one
   to TO.  */
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
  link->conn->reads_all = TRUE;
  conn_report_first (link->conn, TRUE);
  return link;
}

/* Return the connection to TO that takes new calls; open one if there is
   none.  */
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

/* Accept a connection from a peer.  */
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

/* Listen at the address AT.  FN is called with DATA for each event.  Return
   the error of listening.  */
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

/* Close all connections and release LINKS, without reporting any event.  */
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

#include "edge/held_bytes.h"
#include "edge/link_table.h"

/* A retired connection on which nothing arrives for this long is closed.  Two
   gossip messages have already gone unanswered when a connection is
   retired.  */
#define RETIRED_LINK_TIMEOUT_USEC ((gint64)1500000)

/* No more calls are read from a peer that leaves this many bytes of replies
   unread.  */
#define UNREAD_REPLIES_MAX ((gsize)4 * RPC_MESSAGE_BYTES_MAX)

/* Take CALL out of the bytes that LINK has yet to send, together with its
   place among the calls behind it.  Return FALSE if any of it has been sent.
 */
static gboolean
withdraw_call (struct link *link, const struct link_call *call)
{
  GHashTableIter iter;
  gpointer value;

  if (!conn_withdraw (link->conn, call->position, call->length))
    return FALSE;
  g_hash_table_iter_init (&iter, link->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct link_call *other = value;
      if (other->position > call->position)
        other->position -= call->length;
    }
  return TRUE;
}

/* Withdraw the calls of PROCEDURE with the tag SERIAL on the connection H that
   have not been sent; they get no reply.  Return whether there was one.  */
gboolean
links_withdraw (struct links *links, struct handle h,
                enum rpc_procedure procedure, guint64 serial)
{
  struct link *link = table_get (&links->link_table, h);
  gboolean withdrawn = FALSE;
  GHashTableIter iter;
  gpointer value;

  if (link == NULL || conn_unsent (link->conn) == 0)
    return FALSE;
  g_hash_table_iter_init (&iter, link->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct link_call *call = value;
      if (call->procedure != procedure || call->tag.serial != serial
          || !withdraw_call (link, call))
        continue;
      g_hash_table_iter_remove (&iter);
      withdrawn = TRUE;
    }
  return withdrawn;
}

/* Call PROCEDURE with ITEM, encoded by FILTER, on the connection H.  The reply
   comes as LINK_REPLY with TAG, with ERR_TIMEOUT once DEADLINE (monotonic
   usec) has passed.  Return FALSE if the connection is closed.  */
gboolean
links_call_on (struct links *links, struct handle h,
               enum rpc_procedure procedure, wire_filter *filter,
               const void *item, const struct link_tag *tag, gint64 deadline)
{
  struct link *link = table_get (&links->link_table, h);
  struct link_call *call;
  GByteArray *bytes;

  if (link == NULL)
    return FALSE;
  call = g_new0 (struct link_call, 1);
  call->xid = ++link->last_xid;
  call->procedure = procedure;
  call->tag = *tag;
  call->deadline = deadline;
  g_hash_table_insert (link->pending_calls, GUINT_TO_POINTER (call->xid),
                       call);
  bytes = g_byte_array_new ();
  rpc_write_call (bytes, call->xid, procedure, filter, item);
  call->position = link->conn->queued_bytes;
  call->length = bytes->len;
  conn_send (link->conn, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  return TRUE;
}

/* Like links_call_on, on the connection to the peer at TO, which is opened if
   there is none.  Return the connection's handle.  */
struct handle
links_call (struct links *links, struct address to,
            enum rpc_procedure procedure, wire_filter *filter,
            const void *item, const struct link_tag *tag, gint64 deadline)
{
  struct handle h = link_find_or_open (links, to)->self;

  links_call_on (links, h, procedure, filter, item, tag, deadline);
  return h;
}

/* Reply to the call XID that arrived on the connection H, with CODE and with
   ITEM encoded by FILTER.  Nothing is sent if the connection is closed.  */
void
links_reply (struct links *links, struct handle h, guint32 xid, enum err code,
             wire_filter *filter, const void *item)
{
  struct link *link = table_get (&links->link_table, h);
  GByteArray *bytes;

  if (link == NULL)
    return;
  bytes = g_byte_array_new ();
  rpc_write_reply (bytes, xid, code, filter, item);
  conn_send (link->conn, bytes->data, bytes->len);
  if (conn_unsent (link->conn) > UNREAD_REPLIES_MAX
      || !held_bytes_may_queue (link->conn->holder))
    conn_pause (link->conn, TRUE);
  g_byte_array_unref (bytes);
}

/* Fail the calls of one connection whose deadline has passed by NOW with
   ERR_TIMEOUT.  Those that have not been sent are withdrawn.  */
static void
expire_calls (struct links *links, struct link *link, gint64 now)
{
  struct handle h = link->self;
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (struct link_call));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, link->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct link_call *)value)->deadline <= now)
      {
        struct link_call *call = value;
        call->unsent = withdraw_call (link, call);
        g_array_append_vals (expired, call, 1);
        g_hash_table_iter_remove (&iter);
      }
  for (i = 0; i < expired->len; i++)
    link_fail_call (links, h, &g_array_index (expired, struct link_call, i),
                    ERR_TIMEOUT);
  g_array_free (expired, TRUE);
}

/* Return whether LINK can be closed at NOW: it is retired, and has no pending
   calls or has received nothing in time.  */
static gboolean
is_closable (const struct link *link, gint64 now)
{
  return link->is_retired
         && (g_hash_table_size (link->pending_calls) == 0
             || (link->expires_at != 0 && now >= link->expires_at));
}

/* Fail the calls whose deadline has passed by NOW, and close the retired
   connections that are no longer needed.  */
void
links_expire (struct links *links, gint64 now)
{
  struct handle h = table_next (&links->link_table, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&links->link_table, h))
    {
      struct link *link = table_get (&links->link_table, h);
      expire_calls (links, link, now);
      if (table_get (&links->link_table, h) == link && is_closable (link, now))
        link_close (link, ERR_CLOSED);
    }
}

/* Return how long a message that arrived on the connection H at NOW was held
   up, microseconds.  It was sent at SENT_AT on the peer's clock; 0: that is
   not known.  */
gint64
links_delay_usec (struct links *links, struct handle h, gint64 sent_at,
                  gint64 now)
{
  struct link *link = table_get (&links->link_table, h);

  if (link == NULL || sent_at == 0)
    return 0;
  return transit_delay_usec (&link->transit, sent_at, now);
}

/* Return how many accepted connections have unsent replies.  */
guint32
links_unsent_count (const struct links *links)
{
  struct handle h = table_next (&links->link_table, HANDLE_NONE);
  guint32 count = 0;

  for (; handle_is_set (h); h = table_next (&links->link_table, h))
    {
      const struct link *link = table_get (&links->link_table, h);
      if (link->peer_address.port == 0 && conn_unsent (link->conn) > 0)
        count++;
    }
  return count;
}

/* Retire the connection to the peer at TO, which has not answered lately: new
   calls open another connection.  The pending calls stay on the old one and
   fail only if nothing arrives on it within RETIRED_LINK_TIMEOUT_USEC of
   NOW.  */
void
links_retire (struct links *links, struct address to, gint64 now)
{
  struct handle h = table_next (&links->link_table, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&links->link_table, h))
    {
      struct link *link = table_get (&links->link_table, h);
      if (link->peer_address.port == 0 || link->is_retired
          || !address_equal (link->peer_address, to))
        continue;
      link->is_retired = TRUE;
      link->expires_at = now + RETIRED_LINK_TIMEOUT_USEC;
    }
}

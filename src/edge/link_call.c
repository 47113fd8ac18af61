#include "edge/link_table.h"

/* A retired connection that brings nothing for so long is dead: two pulses
   have gone unanswered before.  */
#define RETIRED_LINK_TIMEOUT_USEC ((gint64)1500000)

/* Call PROCEDURE with ITEM on a connection; FALSE if it has ended.  */
gboolean
links_call_on (struct links *links, struct handle h,
               enum rpc_procedure procedure, wire_filter *filter,
               const void *item, const struct link_tag *tag, gint64 deadline)
{
  struct link *link = table_get (&links->link_table, h);
  struct link_call *waiting;
  GByteArray *bytes;

  if (link == NULL)
    return FALSE;
  waiting = g_new0 (struct link_call, 1);
  waiting->xid = ++link->last_xid;
  waiting->procedure = procedure;
  waiting->tag = *tag;
  waiting->deadline = deadline;
  g_hash_table_insert (link->pending_calls, GUINT_TO_POINTER (waiting->xid),
                       waiting);
  bytes = g_byte_array_new ();
  rpc_write_call (bytes, waiting->xid, procedure, filter, item);
  conn_send (link->conn, bytes->data, bytes->len);
  g_byte_array_unref (bytes);
  return TRUE;
}

/* Call PROCEDURE with ITEM on the connection to TO, making one if there is
   none.  Return the connection's handle; the reply comes as LINK_REPLY with
   TAG, ERR_TIMEOUT once DEADLINE has passed.  */
struct handle
links_call (struct links *links, struct address to,
            enum rpc_procedure procedure, wire_filter *filter,
            const void *item, const struct link_tag *tag, gint64 deadline)
{
  struct handle h = link_find_or_open (links, to)->self;

  links_call_on (links, h, procedure, filter, item, tag, deadline);
  return h;
}

/* Reply to the call XID that came on a connection.  */
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
  g_byte_array_unref (bytes);
}

/* Give up the calls of one connection whose deadline has passed.  */
static void
expire_calls (struct links *links, struct link *link, gint64 now)
{
  struct handle h = link->self;
  GArray *lost = g_array_new (FALSE, FALSE, sizeof (struct link_call));
  GHashTableIter iter;
  gpointer value;
  guint i;

  g_hash_table_iter_init (&iter, link->pending_calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct link_call *)value)->deadline <= now)
      {
        g_array_append_vals (lost, value, 1);
        g_hash_table_iter_remove (&iter);
      }
  for (i = 0; i < lost->len; i++)
    link_fail_call (links, h, &g_array_index (lost, struct link_call, i),
                    ERR_TIMEOUT);
  g_array_free (lost, TRUE);
}

/* Tell whether LINK is of no more use: retired, and without calls or a sign of
   life.  */
static gboolean
is_spent (const struct link *link, gint64 now)
{
  return link->is_retired
         && (g_hash_table_size (link->pending_calls) == 0
             || (link->expires_at != 0 && now >= link->expires_at));
}

/* Give up the calls whose deadline has passed, and retired connections.  */
void
links_expire (struct links *links, gint64 now)
{
  struct handle h = table_next (&links->link_table, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&links->link_table, h))
    {
      struct link *link = table_get (&links->link_table, h);
      expire_calls (links, link, now);
      if (table_get (&links->link_table, h) == link && is_spent (link, now))
        link_close (link, ERR_CLOSED);
    }
}

/* Connections that came in and have replies to send.  */
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

/* Have new calls go to TO on another connection than until now, which got no
   answer of late.  If it lives all the same, the calls under way end on it;
   else they are lost.  */
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

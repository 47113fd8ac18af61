#include "edge/proxy.h"

#include "types/clock.h"

#include "edge/held_bytes.h"

#include <string.h>

/* Streams */

/* Hash the key of a stream.  */
static guint
stream_hash (gconstpointer data)
{
  const struct stream_key *key = data;

  return g_int64_hash (&key->stream) ^ key->link_bits;
}

/* Compare the keys of two streams.  */
static gboolean
stream_equal (gconstpointer a, gconstpointer b)
{
  const struct stream_key *left = a;
  const struct stream_key *right = b;

  return left->link_bits == right->link_bits && left->stream == right->stream;
}

/* Other nodes */

/* Dispatch an RPC from another node.  */
static void
dispatch_call (struct proxy *proxy, const struct link_event *event)
{
  switch (event->procedure)
    {
    case RPC_NULL:
      links_reply (&proxy->links, event->link, event->xid, ERR_NONE, NULL,
                   NULL);
      break;
    case RPC_FORWARD_REQUEST:
      source_peer_on_forward (proxy, event);
      break;
    case RPC_FORWARD_CHUNK:
      source_peer_on_chunk (proxy, event);
      break;
    case RPC_READ_RESPONSE:
      source_peer_on_read (proxy, event);
      break;
    case RPC_CANCEL:
      source_peer_on_cancel (proxy, event);
      break;
    case RPC_PEER:
    case RPC_READ_LOG:
    case RPC_MESH:
      proxy->owner.on_link (event, proxy->owner.data);
      break;
    default:
      links_reply (&proxy->links, event->link, event->xid, ERR_MALFORMED, NULL,
                   NULL);
      break;
    }
}

/* Dispatch the reply to an RPC, or its failure.  */
static void
dispatch_reply (struct proxy *proxy, const struct link_event *event)
{
  switch (event->procedure)
    {
    case RPC_PEER:
    case RPC_READ_LOG:
    case RPC_MESH:
      proxy->owner.on_link (event, proxy->owner.data);
      break;
    case RPC_NULL:
    case RPC_FORWARD_REQUEST:
    case RPC_FORWARD_CHUNK:
    case RPC_READ_RESPONSE:
    case RPC_CANCEL:
      exchange_on_reply (proxy, event);
      break;
    }
}

/* Handle an event of a connection to another node.  */
static void
on_link_event (const struct link_event *event, gpointer data)
{
  struct proxy *proxy = data;

  switch (event->kind)
    {
    case LINK_CALL:
      dispatch_call (proxy, event);
      break;
    case LINK_REPLY:
      dispatch_reply (proxy, event);
      break;
    case LINK_BATCH_END:
      source_peer_submit_arrivals (proxy, clock_usec ());
      break;
    case LINK_CLOSED:
      source_peer_on_closed (proxy, event->link);
      break;
    }
}

/* Interface */

/* Report EVENT to the owner.  */
void
proxy_notify (struct proxy *proxy, const struct event *event)
{
  proxy->owner.on_event (event, proxy->owner.data);
}

/* Initialize a data path that listens for other nodes at PEERS and reports to
   OWNER.  */
enum err
proxy_init (struct proxy *proxy, struct address peers,
            const struct proxy_owner *owner)
{
  memset (proxy, 0, sizeof *proxy);
  proxy->owner = *owner;
  table_init (&proxy->exchanges, sizeof (struct exchange));
  proxy->streams
      = g_hash_table_new_full (stream_hash, stream_equal, g_free, NULL);
  proxy->arrivals = g_array_new (FALSE, FALSE, sizeof (struct handle));
  proxy->long_responses = g_array_new (FALSE, FALSE, sizeof (struct handle));
  proxy->server_calls = g_hash_table_new (NULL, NULL);
  http_init (&proxy->http);
  held_bytes_on_close (exchange_drop);
  return links_init (&proxy->links, peers, on_link_event, proxy);
}

/* Remove all exchanges and close all connections, without events.  */
void
proxy_clear (struct proxy *proxy)
{
  struct handle h = table_next (&proxy->exchanges, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&proxy->exchanges, h))
    exchange_remove (exchange_get (proxy, h));
  http_server_clear (&proxy->callers);
  links_clear (&proxy->links);
  http_clear (&proxy->http);
  table_clear (&proxy->exchanges);
  g_hash_table_destroy (proxy->streams);
  g_array_free (proxy->arrivals, TRUE);
  g_array_free (proxy->long_responses, TRUE);
  g_hash_table_destroy (proxy->server_calls);
}

/* End the HTTP calls and RPCs whose deadline is at or before NOW, close the
   connections of callers that are due to be closed, and send the parts of long
   responses that are due.  */
void
proxy_expire (struct proxy *proxy, gint64 now)
{
  http_expire (&proxy->http, now);
  http_server_expire (&proxy->callers, now);
  links_expire (&proxy->links, now);
  source_peer_submit_arrivals (proxy, now);
  source_peer_send_long (proxy, now);
}

/* Return the number of exchanges in progress, of replies not sent, and of
   callers that still take a last response.  */
guint32
proxy_pending_count (const struct proxy *proxy)
{
  return proxy->exchanges.count + links_unsent_count (&proxy->links)
         + http_server_owed_count (&proxy->callers);
}

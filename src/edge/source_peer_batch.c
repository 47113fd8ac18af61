#include "edge/exchange.h"

#include "edge/proxy.h"

/* What follows the RPCs of a peer that arrived together, and the end of its
   connection.  */

/* Submit the requests that have arrived, were not cancelled meanwhile, and are
   due at NOW.  Those that are submitted may bring more requests.  */
void
source_peer_submit_arrivals (struct proxy *proxy, gint64 now)
{
  guint kept = 0;
  guint i;

  for (i = 0; i < proxy->arrivals->len; i++)
    {
      struct handle h = g_array_index (proxy->arrivals, struct handle, i);
      struct exchange *exchange = exchange_get (proxy, h);
      if (exchange == NULL)
        proxy->counters.cancelled_before_start++;
      else if (exchange->source.u.peer.submit_at > now)
        g_array_index (proxy->arrivals, struct handle, kept++) = h;
      else
        exchange_submit (exchange);
    }
  g_array_set_size (proxy->arrivals, kept);
}

/* Cancel all requests of a peer whose connection has ended.  */
void
source_peer_on_closed (struct proxy *proxy, struct handle link)
{
  struct handle h = table_next (&proxy->exchanges, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&proxy->exchanges, h))
    {
      struct exchange *exchange = exchange_get (proxy, h);
      if (exchange->source.kind == SOURCE_PEER
          && handle_equal (exchange->source.u.peer.link, link))
        exchange_disconnected (exchange, BODY_END_BROKEN_OFF);
    }
}

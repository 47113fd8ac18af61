#include "edge/exchange.h"

#include "edge/proxy.h"
#include "types/clock.h"

/* Long responses to other nodes, which share the link of this host with short
   ones.  A node that does not know the rate of its link sends all alike.  */

/* Longer responses are long.  */
#define LONG_RESPONSE_BYTES 16384

/* Size of a part.  A longer one would hold up short responses by more than
   20 ms on a link of 10 Mbit/s.  */
#define PART_BYTES ((gsize)24576)

/* Return whether the response of EXCHANGE is sent in parts at the rate of the
   link.  */
static gboolean
is_long (const struct exchange *exchange)
{
  return exchange->proxy->link_rate.bytes_per_s > 0
         && (exchange->response.body_length < 0
             || exchange->response.body_length > LONG_RESPONSE_BYTES);
}

/* Return how many bytes of the response of EXCHANGE may be sent in one
   message.  */
gsize
source_peer_part (const struct exchange *exchange)
{
  return is_long (exchange) ? PART_BYTES : BODY_QUEUE_BYTES;
}

/* Count BYTES of the response of EXCHANGE that were sent.  */
void
source_peer_sent (struct exchange *exchange, gsize bytes)
{
  exchange->source.u.peer.bytes_sent += (gint64)bytes;
  if (is_long (exchange))
    link_rate_take (&exchange->proxy->link_rate, bytes, clock_usec ());
}

/* Return whether the next part of the response of EXCHANGE may be sent now.
   If not, it waits, and is sent by source_peer_send_long.  The head goes with
   the first part: a response that is not begun by its deadline ends with an
   error, one that is begun costs the caller its connection.  */
gboolean
source_peer_may_send (struct exchange *exchange)
{
  struct proxy *proxy = exchange->proxy;

  if (!is_long (exchange))
    return TRUE;
  if (exchange->source.u.peer.is_queued)
    return FALSE;
  if ((proxy->long_responses->len == 0 || proxy->sends_long)
      && link_rate_may_send (&proxy->link_rate, clock_usec ()))
    return TRUE;
  g_array_append_val (proxy->long_responses, exchange->self);
  exchange->source.u.peer.is_queued = TRUE;
  return FALSE;
}

/* Return how many bytes of the response of EXCHANGE are yet to be sent.  */
static gint64
bytes_left (const struct exchange *exchange)
{
  if (exchange->response.body_length < 0)
    return G_MAXINT64;
  return exchange->response.body_length - exchange->source.u.peer.bytes_sent;
}

/* Return the place of the waiting part that is sent next: of the response with
   the least left to send, and of equal ones the newest.  If the link cannot
   carry all, some responses are then complete in time and the rest are late;
   in the order of their requests, all would be late.  Exchanges that have
   ended are dropped.  If none is left, return the number of parts.  */
static guint
next_part (struct proxy *proxy)
{
  GArray *waiting = proxy->long_responses;
  guint best = 0;
  gint64 least = G_MAXINT64;
  guint i = 0;

  while (i < waiting->len)
    {
      const struct exchange *exchange
          = exchange_get (proxy, g_array_index (waiting, struct handle, i));
      if (exchange == NULL)
        {
          g_array_remove_index (waiting, i);
          continue;
        }
      if (bytes_left (exchange) <= least)
        {
          best = i;
          least = bytes_left (exchange);
        }
      i++;
    }
  return best;
}

/* Send the parts of long responses that are due at NOW.  */
void
source_peer_send_long (struct proxy *proxy, gint64 now)
{
  proxy->sends_long = TRUE;
  while (link_rate_may_send (&proxy->link_rate, now))
    {
      guint place = next_part (proxy);
      struct exchange *exchange;

      if (place >= proxy->long_responses->len)
        break;
      exchange = exchange_get (
          proxy, g_array_index (proxy->long_responses, struct handle, place));
      g_array_remove_index (proxy->long_responses, place);
      exchange->source.u.peer.is_queued = FALSE;
      source_peer_pump (exchange);
    }
  proxy->sends_long = FALSE;
}

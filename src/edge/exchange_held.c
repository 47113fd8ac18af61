#include "edge/exchange.h"

#include "edge/held_bytes.h"
#include "edge/proxy.h"

/* What exchanges hold, and the byte budget of the process.  */

/* Have HOLDER count what EXCHANGE holds.  */
void
exchange_set_holder (struct exchange *exchange, struct handle holder)
{
  exchange->holder = holder;
  held_bytes_charge (holder, BYTES_PER_REQUEST);
  body_set_holder (&exchange->request_body, holder);
  body_set_holder (&exchange->response_body, holder);
}

/* Return whether more of the response is to be buffered: up to
   BODY_QUEUE_BYTES, and further as far as the byte budget allows, so that a
   slow reader does not occupy a slot of the server.  */
gboolean
exchange_takes_more (const struct exchange *exchange)
{
  return !body_is_full (&exchange->response_body)
         || held_bytes_may_buffer (exchange->holder);
}

/* Record that a part of the response was sent to the peer, which reads the
   rest when it has room.  */
void
exchange_passed_on (struct exchange *exchange)
{
  held_bytes_set_unread (exchange->holder, TRUE);
  held_bytes_moved (exchange->holder);
}

/* End the exchange DATA of a peer for lack of memory.  It may have run, and
   the peer is told so.  */
void
exchange_drop (gpointer data)
{
  struct exchange *exchange = data;
  struct proxy *proxy = exchange->proxy;
  const struct action_answer error = { .exchange = exchange->self,
                                       .outcome = OUTCOME_UNKNOWN,
                                       .reason = REASON_MEMORY };
  struct event event = { .kind = EVENT_DISCONNECTED };

  if (!exchange->request_body.is_complete)
    exchange_body_ended (exchange, BODY_END_BROKEN_OFF);
  event.u.disconnected.exchange = exchange->self;
  source_peer_fail (exchange, &error);
  proxy_notify (proxy, &event);
}

#include "edge/exchange.h"
#include "types/clock.h"

#include "edge/headers.h"
#include "edge/held_bytes.h"
#include "edge/proxy.h"
#include "wire/wire_forward.h"

#include <string.h>

/* A request that its link has held up for this long is stale: its caller may
   have left meanwhile.  */
#define STALE_USEC ((gint64)400000)
/* A stale request is submitted this long after its arrival, unless its
   cancellation arrives by then.  */
#define SETTLE_USEC ((gint64)50000)

/* Return the exchange of STREAM on the connection LINK, or NULL.  */
static struct exchange *
find_stream (struct proxy *proxy, struct handle link, guint64 stream)
{
  struct stream_key key = { link.bits, stream };
  struct handle h
      = { GPOINTER_TO_UINT (g_hash_table_lookup (proxy->streams, &key)) };

  return exchange_get (proxy, h);
}

/* Replies */

/* Reply to RPC_FORWARD_REQUEST that the request ended without a response.  */
static void
reply_error (struct proxy *proxy, struct handle link, guint32 xid,
             const struct action_answer *action)
{
  struct forward_response_head head
      = { .load = proxy->load,
          .outcome = action->outcome,
          .reason = action->reason,
          .stamp = action->stamp,
          .retry_after_msec = action->retry_after_msec,
          .headers = (char *)"" };

  links_reply (&proxy->links, link, xid, ERR_NONE, wire_forward_response_head,
               &head);
}

/* Get the next bytes of the response body, at most one part.  END is
   set to TRUE if they are the last ones.  Return their number.  */
static guint32
next_chunk (struct exchange *exchange, guint8 **bytes, gboolean *end)
{
  gsize count = MIN (body_remaining (&exchange->response_body),
                     source_peer_part (exchange));

  *bytes = (guint8 *)body_data (&exchange->response_body);
  *end = exchange->response_body.is_complete
         && count == body_remaining (&exchange->response_body);
  return (guint32)count;
}

/* Consume COUNT bytes that were sent, and let the target send more.  */
static void
on_bytes_sent (struct exchange *exchange, guint32 count, gboolean end)
{
  source_peer_sent (exchange, count);
  body_pass_on (&exchange->response_body, count);
  exchange->source.u.peer.end_sent = end;
  exchange_passed_on (exchange);
  if (exchange->target.kind == TARGET_SERVER && exchange_takes_more (exchange))
    http_pause (&exchange->proxy->http, exchange->target.u.server.call, FALSE);
}

/* Reply to RPC_FORWARD_REQUEST with the head and the first bytes of the
   response.  */
static void
reply_head (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;
  struct forward_response_head head = { .outcome = OUTCOME_DONE };

  head.load = exchange->proxy->load;
  head.http_status = exchange->response.http_status;
  head.body_length = exchange->response.body_length;
  head.stamp = exchange->response.stamp;
  head.headers = headers_format (exchange->response.headers);
  head.chunk_length = next_chunk (exchange, &head.chunk, &head.is_last_chunk);
  links_reply (&exchange->proxy->links, peer->link, peer->forward_xid,
               ERR_NONE, wire_forward_response_head, &head);
  peer->head_sent = TRUE;
  on_bytes_sent (exchange, head.chunk_length, head.is_last_chunk);
  g_free (head.headers);
}

/* Reply to the waiting RPC_READ_RESPONSE with the next bytes.  */
static void
reply_chunk (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;
  struct forward_response_chunk chunk = { .outcome = OUTCOME_DONE };

  chunk.chunk_length
      = next_chunk (exchange, &chunk.chunk, &chunk.is_last_chunk);
  links_reply (&exchange->proxy->links, peer->link, peer->read_xid, ERR_NONE,
               wire_forward_response_chunk, &chunk);
  peer->read_pending = FALSE;
  on_bytes_sent (exchange, chunk.chunk_length, chunk.is_last_chunk);
}

/* Return whether there is something of the response to send: its head, or a
   part that the peer waits for.  */
static gboolean
has_part (const struct exchange *exchange)
{
  const struct source_peer *peer = &exchange->source.u.peer;

  if (!peer->head_sent)
    return exchange->has_response;
  return peer->read_pending
         && (body_remaining (&exchange->response_body) > 0
             || exchange->response_body.is_complete);
}

/* Forward the buffered part of the response.  The exchange is removed once the
   end was sent.  */
void
source_peer_pump (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;

  if (has_part (exchange) && source_peer_may_send (exchange))
    {
      if (peer->head_sent)
        reply_chunk (exchange);
      else
        reply_head (exchange);
    }
  if (peer->end_sent)
    exchange_remove (exchange);
}

/* Let the peer send more of the request body.  */
void
source_peer_resume (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;

  if (!peer->chunk_pending)
    return;
  peer->chunk_pending = FALSE;
  links_reply (&exchange->proxy->links, peer->link, peer->chunk_xid, ERR_NONE,
               NULL, NULL);
}

/* End an exchange with the outcome in ACTION, also if its response has been
   started, and remove it.  */
void
source_peer_fail (struct exchange *exchange,
                  const struct action_answer *action)
{
  struct source_peer *peer = &exchange->source.u.peer;
  struct forward_response_chunk chunk
      = { .outcome = OUTCOME_UNKNOWN, .reason = action->reason };

  source_peer_resume (exchange);
  if (!peer->head_sent)
    reply_error (exchange->proxy, peer->link, peer->forward_xid, action);
  else if (peer->read_pending)
    links_reply (&exchange->proxy->links, peer->link, peer->read_xid, ERR_NONE,
                 wire_forward_response_chunk, &chunk);
  exchange_remove (exchange);
}

/* RPCs */

/* Create an exchange for the request in FORWARD, sent by a peer, which was
   held up for DELAY_USEC.  It is submitted at the end of the batch, since its
   cancellation may have arrived with it; if it was held up for long, so was
   its cancellation, which may take a little longer.  */
static void
add_arrival (struct proxy *proxy, const struct link_event *event,
             const struct forward_request *forward, gint64 delay_usec)
{
  struct exchange *exchange = exchange_add (proxy, SOURCE_PEER);
  struct stream_key key = { event->link.bits, forward->stream };

  exchange->source.u.peer.link = event->link;
  exchange->source.u.peer.stream = forward->stream;
  exchange->source.u.peer.forward_xid = event->xid;
  exchange->request = forward->request;
  exchange->request.forwarded = TRUE;
  exchange->source.u.peer.submit_at
      = delay_usec >= STALE_USEC ? clock_usec () + SETTLE_USEC : 0;
  exchange->method = g_strdup (forward->method);
  exchange->request_target = g_strdup (forward->target);
  exchange->request_headers = headers_parse (forward->headers);
  exchange->request_length = forward->body_length;
  body_append (&exchange->request_body, forward->chunk, forward->chunk_length);
  exchange->request_body.is_complete = forward->is_last_chunk;
  if (exchange->request.digest == 0 && exchange->request.head_digest != 0)
    exchange_digest_begin (exchange);
  if (forward->is_last_chunk)
    exchange_digest_end (exchange);
  exchange_set_holder (exchange,
                       held_bytes_add (BYTE_HOLDER_STREAM, exchange));
  g_hash_table_insert (proxy->streams, g_memdup2 (&key, sizeof key),
                       GUINT_TO_POINTER (exchange->self.bits));
  proxy->counters.peer_requests++;
  proxy->counters.request_bytes += forward->chunk_length;
  g_array_append_val (proxy->arrivals, exchange->self);
}

/* Handle RPC_FORWARD_REQUEST: a peer forwards a request.  It is refused unless
   it is meant for this incarnation of the node, and if it was held up on the
   link until its deadline.  */
void
source_peer_on_forward (struct proxy *proxy, const struct link_event *event)
{
  struct forward_request forward = { 0 };
  struct action_answer error
      = { .outcome = OUTCOME_NOT_RUN, .reason = REASON_NONE };
  gint64 now = clock_usec ();
  gint64 delay_usec;

  if (wire_decode (wire_forward_request, &forward, event->bytes, event->length)
      != ERR_NONE)
    {
      links_reply (&proxy->links, event->link, event->xid, ERR_MALFORMED, NULL,
                   NULL);
      return;
    }
  delay_usec
      = links_delay_usec (&proxy->links, event->link, forward.sent_at, now);
  forward.request.deadline += now - delay_usec;
  if (!held_bytes_may_begin (HANDLE_NONE))
    error.reason = REASON_MEMORY;
  else if (forward.target_incarnation != proxy->self_incarnation)
    error.reason = REASON_PEER_LOST;
  else if (delay_usec > 0 && forward.request.deadline <= now)
    error.reason = REASON_DEADLINE;
  if (error.reason == REASON_DEADLINE)
    proxy->counters.expired_on_link++;
  if (error.reason != REASON_NONE)
    reply_error (proxy, event->link, event->xid, &error);
  else
    add_arrival (proxy, event, &forward, delay_usec);
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&forward);
}

/* Handle RPC_FORWARD_CHUNK: a peer sends more of a request body.  The reply
   waits until there is room for the next part; bytes for an exchange that has
   ended are dropped.  */
void
source_peer_on_chunk (struct proxy *proxy, const struct link_event *event)
{
  struct forward_request_chunk chunk = { 0 };
  struct exchange *exchange = NULL;

  if (wire_decode (wire_forward_request_chunk, &chunk, event->bytes,
                   event->length)
      == ERR_NONE)
    exchange = find_stream (proxy, event->link, chunk.stream);
  if (exchange == NULL)
    links_reply (&proxy->links, event->link, event->xid, ERR_NONE, NULL, NULL);
  else
    {
      proxy->counters.request_bytes += chunk.chunk_length;
      exchange_append_request (exchange, chunk.chunk, chunk.chunk_length);
      exchange->request_body.is_complete = chunk.is_last_chunk;
      if (chunk.is_last_chunk)
        exchange_body_ended (exchange, BODY_END_WHOLE);
      exchange->source.u.peer.chunk_pending = TRUE;
      exchange->source.u.peer.chunk_xid = event->xid;
      exchange_pump_request (exchange);
    }
  xdr_free ((xdrproc_t)wire_forward_request_chunk, (char *)&chunk);
}

/* Handle RPC_READ_RESPONSE: a peer reads more of a response body.  */
void
source_peer_on_read (struct proxy *proxy, const struct link_event *event)
{
  guint64 stream = 0;
  struct exchange *exchange = NULL;
  struct forward_response_chunk ended
      = { .outcome = OUTCOME_UNKNOWN, .reason = REASON_TRUNCATED };

  if (wire_decode (wire_forward_stream, &stream, event->bytes, event->length)
      == ERR_NONE)
    exchange = find_stream (proxy, event->link, stream);
  if (exchange == NULL)
    {
      links_reply (&proxy->links, event->link, event->xid, ERR_NONE,
                   wire_forward_response_chunk, &ended);
      return;
    }
  exchange->source.u.peer.read_pending = TRUE;
  exchange->source.u.peer.read_xid = event->xid;
  source_peer_pump (exchange);
}

/* Handle RPC_CANCEL: a peer cancels a request.  */
void
source_peer_on_cancel (struct proxy *proxy, const struct link_event *event)
{
  guint64 stream = 0;
  struct exchange *exchange = NULL;

  if (wire_decode (wire_forward_stream, &stream, event->bytes, event->length)
      == ERR_NONE)
    exchange = find_stream (proxy, event->link, stream);
  if (exchange != NULL)
    exchange_disconnected (exchange, BODY_END_BROKEN_OFF);
  links_reply (&proxy->links, event->link, event->xid, ERR_NONE, NULL, NULL);
}

#include "edge/exchange.h"
#include "types/clock.h"

#include "edge/headers.h"
#include "edge/proxy.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Get the next bytes of the request body, at most BODY_CHUNK_BYTES.  END is
   set to TRUE if they are the last ones.  Return their number.  */
static guint32
next_chunk (struct exchange *exchange, guint8 **bytes, gboolean *end)
{
  gsize count = MIN (exchange_sendable (exchange), BODY_CHUNK_BYTES);

  *bytes = (guint8 *)body_data (&exchange->request_body);
  *end = exchange->request_body.is_complete
         && !body_is_cut (&exchange->request_body)
         && count == body_remaining (&exchange->request_body);
  return (guint32)count;
}

/* Return the tag for RPCs of the attempt in progress.  */
static struct link_tag
attempt_tag (const struct exchange *exchange)
{
  struct link_tag tag = { .serial = exchange->target.u.peer.stream,
                          .user_handle = exchange->self };
  return tag;
}

/* Forward a request to the owner's node.  */
void
exchange_forward (struct proxy *proxy, const struct action_forward *action)
{
  struct exchange *exchange = exchange_get (proxy, action->exchange);
  struct forward_request forward = { 0 };
  struct link_tag tag;

  if (exchange == NULL || !exchange_begin_attempt (exchange))
    return;
  exchange->response.retry_after_msec = 0;
  exchange->response.has_load = FALSE;
  memset (&exchange->response.stamp, 0, sizeof exchange->response.stamp);
  exchange->response.owner_address = action->caller_address;
  exchange->request.deadline = action->request.deadline;
  exchange->withholds_end = action->withholds_end;
  exchange->target.kind = TARGET_PEER;
  exchange->target.u.peer.stream = ++proxy->last_stream_id;
  forward.stream = proxy->last_stream_id;
  forward.target_incarnation = action->peer_incarnation;
  forward.request = action->request;
  forward.sent_at = clock_usec ();
  forward.request.deadline -= forward.sent_at;
  forward.fence = action->fence;
  forward.method = exchange->method;
  forward.target = exchange->request_target;
  forward.headers = headers_format (exchange->request_headers);
  forward.body_length = exchange->request_length;
  forward.chunk_length
      = next_chunk (exchange, &forward.chunk, &forward.is_last_chunk);
  tag = attempt_tag (exchange);
  exchange->target.u.peer.link = links_call (
      &proxy->links, action->address, RPC_FORWARD_REQUEST,
      wire_forward_request, &forward, &tag, exchange->request.deadline);
  body_consume (&exchange->request_body, forward.chunk_length);
  exchange->target.u.peer.end_sent = forward.is_last_chunk;
  g_free (forward.headers);
  exchange_pump_request (exchange);
}

/* Forward more of the request body, with one RPC at a time.  */
void
target_peer_pump (struct exchange *exchange)
{
  struct target_peer *peer = &exchange->target.u.peer;
  struct forward_request_chunk chunk = { .stream = peer->stream };
  struct link_tag tag = attempt_tag (exchange);

  if (peer->chunk_pending || peer->end_sent
      || (exchange_sendable (exchange) == 0
          && (!exchange->request_body.is_complete || exchange->withholds_end
              || body_is_cut (&exchange->request_body))))
    return;
  chunk.chunk_length
      = next_chunk (exchange, &chunk.chunk, &chunk.is_last_chunk);
  if (!links_call_on (&exchange->proxy->links, peer->link, RPC_FORWARD_CHUNK,
                      wire_forward_request_chunk, &chunk, &tag,
                      exchange->request.deadline))
    return;
  body_consume (&exchange->request_body, chunk.chunk_length);
  peer->chunk_pending = TRUE;
  peer->end_sent = chunk.is_last_chunk;
}

/* Read more of the response body from the owner's node if there is room for
   it.  */
void
target_peer_read (struct exchange *exchange)
{
  struct target_peer *peer = &exchange->target.u.peer;
  struct link_tag tag = attempt_tag (exchange);

  if (exchange->target.kind != TARGET_PEER || !exchange->target.has_head
      || peer->read_pending || !exchange_takes_more (exchange))
    return;
  peer->read_pending = links_call_on (
      &exchange->proxy->links, peer->link, RPC_READ_RESPONSE,
      wire_forward_stream, &peer->stream, &tag, exchange->request.deadline);
}

/* Replies */

/* End an attempt whose RPC failed as EVENT says.  It was not run if nothing of
   the request was sent (ERR_REFUSED, or it was withdrawn) or if its arguments
   were rejected (ERR_MALFORMED).  After a timeout the other node may still
   have the request, and is told to drop it.  */
static void
on_call_failed (struct exchange *exchange, const struct link_event *event)
{
  gboolean has_head = exchange->target.has_head;
  enum err code = event->code;

  if (event->unsent && event->procedure == RPC_FORWARD_REQUEST)
    {
      exchange_attempt_ended (exchange, OUTCOME_NOT_RUN, REASON_DEADLINE);
      return;
    }
  if (code == ERR_TIMEOUT)
    target_abort (exchange);
  if (has_head)
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else if (code == ERR_REFUSED || code == ERR_MALFORMED)
    exchange_attempt_ended (exchange, OUTCOME_NOT_RUN, REASON_PEER_LOST);
  else
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN,
                            code == ERR_TIMEOUT ? REASON_DEADLINE
                                                : REASON_PEER_LOST);
}

/* Buffer bytes of the response body.  END: they are the last ones.  */
static void
append_response (struct exchange *exchange, const guint8 *bytes, guint32 count,
                 gboolean end)
{
  struct handle self = exchange->self;
  struct proxy *proxy = exchange->proxy;

  proxy->counters.answer_bytes += count;
  body_append (&exchange->response_body, bytes, count);
  if (end)
    {
      exchange_attempt_ended (exchange, OUTCOME_DONE, REASON_NONE);
      return;
    }
  exchange_pump_response (exchange);
  exchange = exchange_get (proxy, self);
  if (exchange != NULL)
    target_peer_read (exchange);
}

/* Handle the head of the response.  */
static void
on_response_head (struct exchange *exchange,
                  const struct forward_response_head *head)
{
  exchange->response.load = head->load;
  exchange->response.has_load = TRUE;
  if (head->outcome != OUTCOME_DONE)
    {
      exchange->response.stamp = head->stamp;
      exchange->response.retry_after_msec = head->retry_after_msec;
      exchange_attempt_ended (exchange, head->outcome, head->reason);
      return;
    }
  exchange->target.has_head = TRUE;
  exchange->has_response = TRUE;
  exchange->response.http_status = head->http_status;
  exchange->response.body_length = head->body_length;
  exchange->response.stamp = head->stamp;
  exchange->response.headers = headers_parse (head->headers);
  append_response (exchange, head->chunk, head->chunk_length,
                   head->is_last_chunk);
}

/* Handle the reply to RPC_FORWARD_REQUEST.  */
static void
on_forward_reply (struct exchange *exchange, const struct link_event *event)
{
  struct forward_response_head head = { 0 };

  if (wire_decode (wire_forward_response_head, &head, event->bytes,
                   event->length)
      != ERR_NONE)
    {
      exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST);
      return;
    }
  on_response_head (exchange, &head);
  xdr_free ((xdrproc_t)wire_forward_response_head, (char *)&head);
}

/* Handle the reply to RPC_READ_RESPONSE.  */
static void
on_read_reply (struct exchange *exchange, const struct link_event *event)
{
  struct forward_response_chunk chunk = { 0 };

  exchange->target.u.peer.read_pending = FALSE;
  if (wire_decode (wire_forward_response_chunk, &chunk, event->bytes,
                   event->length)
          != ERR_NONE
      || chunk.outcome != OUTCOME_DONE)
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else
    append_response (exchange, chunk.chunk, chunk.chunk_length,
                     chunk.is_last_chunk);
  xdr_free ((xdrproc_t)wire_forward_response_chunk, (char *)&chunk);
}

/* Handle the reply to an RPC of an exchange, or its failure.  Replies to an
   attempt that has ended are ignored.  */
void
exchange_on_reply (struct proxy *proxy, const struct link_event *event)
{
  struct exchange *exchange = exchange_get (proxy, event->tag.user_handle);

  if (exchange == NULL || exchange->target.kind != TARGET_PEER
      || exchange->target.u.peer.stream != event->tag.serial)
    return;
  if (event->code != ERR_NONE)
    {
      on_call_failed (exchange, event);
      return;
    }
  switch (event->procedure)
    {
    case RPC_FORWARD_REQUEST:
      on_forward_reply (exchange, event);
      break;
    case RPC_FORWARD_CHUNK:
      exchange->target.u.peer.chunk_pending = FALSE;
      exchange_pump_request (exchange);
      break;
    case RPC_READ_RESPONSE:
      on_read_reply (exchange, event);
      break;
    case RPC_NULL:
    case RPC_PEER:
    case RPC_CANCEL:
    case RPC_READ_LOG:
    case RPC_MESH:
      break;
    }
}

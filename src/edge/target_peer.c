#include "edge/exchange.h"
#include "types/clock.h"

#include "edge/headers.h"
#include "edge/proxy.h"
#include "wire/wire_forward.h"

#include <string.h>

#include <string.h>

/* The next bytes of the request's body, at most BODY_CHUNK_BYTES.  */
static guint32
next_bytes (struct exchange *exchange, guint8 **bytes, gboolean *end)
{
  gsize count
      = MIN (body_remaining (&exchange->request_body), BODY_CHUNK_BYTES);

  *bytes = (guint8 *)body_data (&exchange->request_body);
  *end = exchange->request_body.is_complete
         && count == body_remaining (&exchange->request_body);
  return (guint32)count;
}

/* The tag of calls for the attempt under way.  */
static struct link_tag
tag_of (const struct exchange *exchange)
{
  struct link_tag tag = { .serial = exchange->target.u.peer.stream,
                          .user_handle = exchange->self };
  return tag;
}

/* Pass a request on to the owner's node.  */
void
exchange_forward (struct proxy *proxy, const struct action_forward *action)
{
  struct exchange *exchange = exchange_get (proxy, action->exchange);
  struct forward_request open = { 0 };
  struct link_tag tag;

  if (exchange == NULL)
    return;
  exchange_reset_attempt (exchange);
  exchange->response.retry_after_msec = 0;
  exchange->response.has_load = FALSE;
  memset (&exchange->response.stamp, 0, sizeof exchange->response.stamp);
  exchange->response.owner_address = action->caller_address;
  exchange->request.deadline = action->request.deadline;
  exchange->target.kind = TARGET_PEER;
  exchange->target.u.peer.stream = ++proxy->last_stream_id;
  open.stream = proxy->last_stream_id;
  open.target_incarnation = action->peer_incarnation;
  open.request = action->request;
  open.request.deadline -= clock_usec ();
  open.fence = action->fence;
  open.method = exchange->method;
  open.target = exchange->request_target;
  open.headers = headers_format (exchange->request_headers);
  open.body_length = exchange->request_length;
  open.chunk_length = next_bytes (exchange, &open.chunk, &open.is_last_chunk);
  tag = tag_of (exchange);
  exchange->target.u.peer.link = links_call (
      &proxy->links, action->address, RPC_FORWARD_REQUEST,
      wire_forward_request, &open, &tag, exchange->request.deadline);
  body_consume (&exchange->request_body, open.chunk_length);
  exchange->target.u.peer.end_sent = open.is_last_chunk;
  g_free (open.headers);
  exchange_pump_request (exchange);
}

/* Pass on more of the request's body, one call at a time.  */
void
target_peer_pump (struct exchange *exchange)
{
  struct target_peer *peer = &exchange->target.u.peer;
  struct forward_request_chunk data = { .stream = peer->stream };
  struct link_tag tag = tag_of (exchange);

  if (peer->chunk_pending || peer->end_sent
      || (body_remaining (&exchange->request_body) == 0
          && !exchange->request_body.is_complete))
    return;
  data.chunk_length = next_bytes (exchange, &data.chunk, &data.is_last_chunk);
  if (!links_call_on (&exchange->proxy->links, peer->link, RPC_FORWARD_CHUNK,
                      wire_forward_request_chunk, &data, &tag,
                      exchange->request.deadline))
    return;
  body_consume (&exchange->request_body, data.chunk_length);
  peer->chunk_pending = TRUE;
  peer->end_sent = data.is_last_chunk;
}

/* Ask for more of the answer's body if there is room for it.  */
void
target_peer_read (struct exchange *exchange)
{
  struct target_peer *peer = &exchange->target.u.peer;
  struct link_tag tag = tag_of (exchange);

  if (exchange->target.kind != TARGET_PEER || !exchange->target.has_head
      || peer->read_pending || body_is_full (&exchange->response_body))
    return;
  peer->read_pending = links_call_on (
      &exchange->proxy->links, peer->link, RPC_READ_RESPONSE,
      wire_forward_stream, &peer->stream, &tag, exchange->request.deadline);
}

/* Replies */

/* The attempt failed because no reply will come.  ERR_REFUSED proves that
   nothing was sent, and ERR_MALFORMED that the arguments were refused.  */
static void
take_failure (struct exchange *exchange, enum err code)
{
  if (exchange->target.has_head)
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else if (code == ERR_REFUSED || code == ERR_MALFORMED)
    exchange_attempt_ended (exchange, OUTCOME_NOT_RUN, REASON_PEER_LOST);
  else
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN,
                            code == ERR_TIMEOUT ? REASON_DEADLINE
                                                : REASON_PEER_LOST);
}

/* Take in bytes of the answer's body.  */
static void
take_bytes (struct exchange *exchange, const guint8 *bytes, guint32 count,
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

/* The head of the answer came.  */
static void
take_head (struct exchange *exchange, const struct forward_response_head *head)
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
  take_bytes (exchange, head->chunk, head->chunk_length, head->is_last_chunk);
}

/* Decode the reply to a call to open, and take it in.  */
static void
take_open (struct exchange *exchange, const struct link_event *event)
{
  struct forward_response_head head = { 0 };

  if (wire_decode (wire_forward_response_head, &head, event->bytes,
                   event->length)
      != ERR_NONE)
    {
      exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST);
      return;
    }
  take_head (exchange, &head);
  xdr_free ((xdrproc_t)wire_forward_response_head, (char *)&head);
}

/* Decode the reply to a read, and take it in.  */
static void
take_read (struct exchange *exchange, const struct link_event *event)
{
  struct forward_response_chunk more = { 0 };

  exchange->target.u.peer.read_pending = FALSE;
  if (wire_decode (wire_forward_response_chunk, &more, event->bytes,
                   event->length)
          != ERR_NONE
      || more.outcome != OUTCOME_DONE)
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else
    take_bytes (exchange, more.chunk, more.chunk_length, more.is_last_chunk);
  xdr_free ((xdrproc_t)wire_forward_response_chunk, (char *)&more);
}

/* A call for a request was answered, or will not be.  A reply to an attempt
   that is over is passed over.  */
void
exchange_on_reply (struct proxy *proxy, const struct link_event *event)
{
  struct exchange *exchange = exchange_get (proxy, event->tag.user_handle);

  if (exchange == NULL || exchange->target.kind != TARGET_PEER
      || exchange->target.u.peer.stream != event->tag.serial)
    return;
  if (event->code != ERR_NONE)
    {
      take_failure (exchange, event->code);
      return;
    }
  switch (event->procedure)
    {
    case RPC_FORWARD_REQUEST:
      take_open (exchange, event);
      break;
    case RPC_FORWARD_CHUNK:
      exchange->target.u.peer.chunk_pending = FALSE;
      exchange_pump_request (exchange);
      break;
    case RPC_READ_RESPONSE:
      take_read (exchange, event);
      break;
    case RPC_NULL:
    case RPC_PEER:
    case RPC_CANCEL:
    case RPC_READ_LOG:
    case RPC_MESH:
      break;
    }
}

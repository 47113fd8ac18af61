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
  gsize count = MIN (body_left (&exchange->in), BODY_CHUNK_BYTES);

  *bytes = (guint8 *)body_next (&exchange->in);
  *end = exchange->in.end && count == body_left (&exchange->in);
  return (guint32)count;
}

/* The tag of calls for the attempt under way.  */
static struct link_tag
tag_of (const struct exchange *exchange)
{
  struct link_tag tag = { .serial = exchange->target.u.peer.stream,
                          .exchange = exchange->self };
  return tag;
}

/* Pass a request on to the owner's node.  */
void
exchange_forward (struct proxy *proxy, const struct action_forward *action)
{
  struct exchange *exchange = exchange_at (proxy, action->exchange);
  struct forward_open open = { 0 };
  struct link_tag tag;

  if (exchange == NULL)
    return;
  exchange_restart (exchange);
  exchange->head.retry_msec = 0;
  exchange->head.has_load = FALSE;
  memset (&exchange->head.stamp, 0, sizeof exchange->head.stamp);
  exchange->head.owner = action->front;
  exchange->request.deadline = action->request.deadline;
  exchange->target.kind = TARGET_PEER;
  exchange->target.u.peer.stream = ++proxy->last_stream;
  open.stream = proxy->last_stream;
  open.to = action->peer;
  open.request = action->request;
  open.request.deadline -= clock_usec ();
  open.fence = action->fence;
  open.method = exchange->method;
  open.target = exchange->path;
  open.headers = headers_format (exchange->headers);
  open.length = exchange->length;
  open.count = next_bytes (exchange, &open.bytes, &open.end);
  tag = tag_of (exchange);
  exchange->target.u.peer.link
      = links_call (&proxy->links, action->to, RPC_OPEN, wire_forward_open,
                    &open, &tag, exchange->request.deadline);
  body_pass (&exchange->in, open.count);
  exchange->target.u.peer.end_sent = open.end;
  g_free (open.headers);
  exchange_pump_in (exchange);
}

/* Pass on more of the request's body, one call at a time.  */
void
target_peer_pump (struct exchange *exchange)
{
  struct target_peer *peer = &exchange->target.u.peer;
  struct forward_data data = { .stream = peer->stream };
  struct link_tag tag = tag_of (exchange);

  if (peer->data_pending || peer->end_sent
      || (body_left (&exchange->in) == 0 && !exchange->in.end))
    return;
  data.count = next_bytes (exchange, &data.bytes, &data.end);
  if (!links_call_on (&exchange->proxy->links, peer->link, RPC_DATA,
                      wire_forward_data, &data, &tag,
                      exchange->request.deadline))
    return;
  body_pass (&exchange->in, data.count);
  peer->data_pending = TRUE;
  peer->end_sent = data.end;
}

/* Ask for more of the answer's body if there is room for it.  */
void
target_peer_pull (struct exchange *exchange)
{
  struct target_peer *peer = &exchange->target.u.peer;
  struct link_tag tag = tag_of (exchange);

  if (exchange->target.kind != TARGET_PEER || !exchange->target.has_head
      || peer->read_pending || body_is_full (&exchange->out))
    return;
  peer->read_pending = links_call_on (
      &exchange->proxy->links, peer->link, RPC_READ, wire_forward_stream,
      &peer->stream, &tag, exchange->request.deadline);
}

/* Replies */

/* The attempt failed because no reply will come.  ERR_REFUSED proves that
   nothing was sent, and ERR_MALFORMED that the arguments were refused.  */
static void
take_failure (struct exchange *exchange, enum err code)
{
  if (exchange->target.has_head)
    exchange_target_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else if (code == ERR_REFUSED || code == ERR_MALFORMED)
    exchange_target_ended (exchange, OUTCOME_NOT_RUN, REASON_PEER_LOST);
  else
    exchange_target_ended (exchange, OUTCOME_UNKNOWN,
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

  proxy->counters.bytes_out += count;
  body_add (&exchange->out, bytes, count);
  if (end)
    {
      exchange_target_ended (exchange, OUTCOME_DONE, REASON_NONE);
      return;
    }
  exchange_pump_out (exchange);
  exchange = exchange_at (proxy, self);
  if (exchange != NULL)
    target_peer_pull (exchange);
}

/* The head of the answer came.  */
static void
take_head (struct exchange *exchange, const struct forward_head *head)
{
  exchange->head.load = head->load;
  exchange->head.has_load = TRUE;
  if (head->outcome != OUTCOME_DONE)
    {
      exchange->head.stamp = head->stamp;
      exchange->head.retry_msec = head->retry_msec;
      exchange_target_ended (exchange, head->outcome, head->reason);
      return;
    }
  exchange->target.has_head = TRUE;
  exchange->has_answer = TRUE;
  exchange->head.status = head->status;
  exchange->head.length = head->length;
  exchange->head.stamp = head->stamp;
  exchange->head.headers = headers_parse (head->headers);
  take_bytes (exchange, head->bytes, head->count, head->end);
}

/* Decode the reply to a call to open, and take it in.  */
static void
take_open (struct exchange *exchange, const struct link_event *event)
{
  struct forward_head head = { 0 };

  if (wire_decode (wire_forward_head, &head, event->bytes, event->length)
      != ERR_NONE)
    {
      exchange_target_ended (exchange, OUTCOME_UNKNOWN, REASON_PEER_LOST);
      return;
    }
  take_head (exchange, &head);
  xdr_free ((xdrproc_t)wire_forward_head, (char *)&head);
}

/* Decode the reply to a read, and take it in.  */
static void
take_read (struct exchange *exchange, const struct link_event *event)
{
  struct forward_more more = { 0 };

  exchange->target.u.peer.read_pending = FALSE;
  if (wire_decode (wire_forward_more, &more, event->bytes, event->length)
          != ERR_NONE
      || more.outcome != OUTCOME_DONE)
    exchange_target_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else
    take_bytes (exchange, more.bytes, more.count, more.end);
  xdr_free ((xdrproc_t)wire_forward_more, (char *)&more);
}

/* A call for a request was answered, or will not be.  A reply to an attempt
   that is over is passed over.  */
void
exchange_reply (struct proxy *proxy, const struct link_event *event)
{
  struct exchange *exchange = exchange_at (proxy, event->tag.exchange);

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
    case RPC_OPEN:
      take_open (exchange, event);
      break;
    case RPC_DATA:
      exchange->target.u.peer.data_pending = FALSE;
      exchange_pump_in (exchange);
      break;
    case RPC_READ:
      take_read (exchange, event);
      break;
    case RPC_NULL:
    case RPC_PEER:
    case RPC_CANCEL:
    case RPC_TAIL:
    case RPC_MESH:
      break;
    }
}

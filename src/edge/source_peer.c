#include "edge/exchange.h"
#include "types/clock.h"

#include "edge/headers.h"
#include "edge/proxy.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Find the request that a peer calls STREAM.  */
static struct exchange *
find_stream (struct proxy *proxy, struct handle link, guint64 stream)
{
  struct stream_key key = { link.bits, stream };
  struct handle h
      = { GPOINTER_TO_UINT (g_hash_table_lookup (proxy->streams, &key)) };

  return exchange_get (proxy, h);
}

/* Replies */

/* Reply to a call to open that the request ended without an answer.  */
static void
reply_refusal (struct proxy *proxy, struct handle link, guint32 xid,
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

/* The next bytes of the answer's body.  */
static guint32
next_bytes (struct exchange *exchange, guint8 **bytes, gboolean *end)
{
  gsize count
      = MIN (body_remaining (&exchange->response_body), BODY_QUEUE_BYTES);

  *bytes = (guint8 *)body_data (&exchange->response_body);
  *end = exchange->response_body.is_complete
         && count == body_remaining (&exchange->response_body);
  return (guint32)count;
}

/* Note that COUNT bytes went out, and let the target go on.  */
static void
bytes_went (struct exchange *exchange, guint32 count, gboolean end)
{
  body_consume (&exchange->response_body, count);
  exchange->source.u.peer.end_sent = end;
  if (exchange->target.kind == TARGET_SERVER
      && !body_is_full (&exchange->response_body))
    http_pause (&exchange->proxy->http, exchange->target.u.server.call, FALSE);
}

/* Reply with the head and the first bytes.  */
static void
send_head (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;
  struct forward_response_head head = { .outcome = OUTCOME_DONE };

  head.load = exchange->proxy->load;
  head.http_status = exchange->response.http_status;
  head.body_length = exchange->response.body_length;
  head.stamp = exchange->response.stamp;
  head.headers = headers_format (exchange->response.headers);
  head.chunk_length = next_bytes (exchange, &head.chunk, &head.is_last_chunk);
  links_reply (&exchange->proxy->links, peer->link, peer->forward_xid,
               ERR_NONE, wire_forward_response_head, &head);
  peer->head_sent = TRUE;
  bytes_went (exchange, head.chunk_length, head.is_last_chunk);
  g_free (head.headers);
}

/* Reply to the read that waits with the next bytes.  */
static void
send_more (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;
  struct forward_response_chunk more = { .outcome = OUTCOME_DONE };

  more.chunk_length = next_bytes (exchange, &more.chunk, &more.is_last_chunk);
  links_reply (&exchange->proxy->links, peer->link, peer->read_xid, ERR_NONE,
               wire_forward_response_chunk, &more);
  peer->read_pending = FALSE;
  bytes_went (exchange, more.chunk_length, more.is_last_chunk);
}

/* Pass on what there is of the answer.  The request is gone once the end has
   gone out.  */
void
source_peer_pump (struct exchange *exchange)
{
  struct source_peer *peer = &exchange->source.u.peer;

  if (exchange->has_response && !peer->head_sent)
    send_head (exchange);
  else if (peer->read_pending
           && (body_remaining (&exchange->response_body) > 0
               || exchange->response_body.is_complete))
    send_more (exchange);
  if (peer->end_sent)
    exchange_remove (exchange);
}

/* Let the peer send more of the request's body.  */
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

/* End a request with the outcome in ACTION, also one whose answer has
   begun, and forget it.  */
void
source_peer_fail (struct exchange *exchange,
                  const struct action_answer *action)
{
  struct source_peer *peer = &exchange->source.u.peer;
  struct forward_response_chunk more
      = { .outcome = OUTCOME_UNKNOWN, .reason = action->reason };

  source_peer_resume (exchange);
  if (!peer->head_sent)
    reply_refusal (exchange->proxy, peer->link, peer->forward_xid, action);
  else if (peer->read_pending)
    links_reply (&exchange->proxy->links, peer->link, peer->read_xid, ERR_NONE,
                 wire_forward_response_chunk, &more);
  exchange_remove (exchange);
}

/* Calls */

/* Make a request of what a peer has opened.  */
static void
begin_open (struct proxy *proxy, const struct link_event *event,
            const struct forward_request *open)
{
  struct exchange *exchange = exchange_add (proxy, SOURCE_PEER);
  struct stream_key key = { event->link.bits, open->stream };

  exchange->source.u.peer.link = event->link;
  exchange->source.u.peer.stream = open->stream;
  exchange->source.u.peer.forward_xid = event->xid;
  exchange->request = open->request;
  exchange->request.forwarded = TRUE;
  exchange->request.deadline += clock_usec ();
  exchange->method = g_strdup (open->method);
  exchange->request_target = g_strdup (open->target);
  exchange->request_headers = headers_parse (open->headers);
  exchange->request_length = open->body_length;
  body_append (&exchange->request_body, open->chunk, open->chunk_length);
  exchange->request_body.is_complete = open->is_last_chunk;
  g_hash_table_insert (proxy->streams, g_memdup2 (&key, sizeof key),
                       GUINT_TO_POINTER (exchange->self.bits));
  proxy->counters.peer_requests++;
  proxy->counters.request_bytes += open->chunk_length;
  exchange_submit (exchange);
}

/* A peer passes a request on to here.  */
void
source_peer_on_forward (struct proxy *proxy, const struct link_event *event)
{
  struct forward_request open = { 0 };
  struct action_answer wrong
      = { .outcome = OUTCOME_NOT_RUN, .reason = REASON_PEER_LOST };

  if (wire_decode (wire_forward_request, &open, event->bytes, event->length)
      != ERR_NONE)
    {
      links_reply (&proxy->links, event->link, event->xid, ERR_MALFORMED, NULL,
                   NULL);
      return;
    }
  if (open.target_incarnation != proxy->self_incarnation)
    reply_refusal (proxy, event->link, event->xid, &wrong);
  else
    begin_open (proxy, event, &open);
  xdr_free ((xdrproc_t)wire_forward_request, (char *)&open);
}

/* A peer sends more of a request's body.  The reply waits until there is room
   for the next part; a request that is gone takes it and forgets it.  */
void
source_peer_on_chunk (struct proxy *proxy, const struct link_event *event)
{
  struct forward_request_chunk data = { 0 };
  struct exchange *exchange = NULL;

  if (wire_decode (wire_forward_request_chunk, &data, event->bytes,
                   event->length)
      == ERR_NONE)
    exchange = find_stream (proxy, event->link, data.stream);
  if (exchange == NULL)
    links_reply (&proxy->links, event->link, event->xid, ERR_NONE, NULL, NULL);
  else
    {
      proxy->counters.request_bytes += data.chunk_length;
      body_append (&exchange->request_body, data.chunk, data.chunk_length);
      exchange->request_body.is_complete = data.is_last_chunk;
      exchange->source.u.peer.chunk_pending = TRUE;
      exchange->source.u.peer.chunk_xid = event->xid;
      exchange_pump_request (exchange);
    }
  xdr_free ((xdrproc_t)wire_forward_request_chunk, (char *)&data);
}

/* A peer asks for more of an answer's body.  */
void
source_peer_on_read (struct proxy *proxy, const struct link_event *event)
{
  guint64 stream = 0;
  struct exchange *exchange = NULL;
  struct forward_response_chunk gone
      = { .outcome = OUTCOME_UNKNOWN, .reason = REASON_TRUNCATED };

  if (wire_decode (wire_forward_stream, &stream, event->bytes, event->length)
      == ERR_NONE)
    exchange = find_stream (proxy, event->link, stream);
  if (exchange == NULL)
    {
      links_reply (&proxy->links, event->link, event->xid, ERR_NONE,
                   wire_forward_response_chunk, &gone);
      return;
    }
  exchange->source.u.peer.read_pending = TRUE;
  exchange->source.u.peer.read_xid = event->xid;
  source_peer_pump (exchange);
}

/* A peer gives a request up.  */
void
source_peer_on_cancel (struct proxy *proxy, const struct link_event *event)
{
  guint64 stream = 0;
  struct exchange *exchange = NULL;

  if (wire_decode (wire_forward_stream, &stream, event->bytes, event->length)
      == ERR_NONE)
    exchange = find_stream (proxy, event->link, stream);
  if (exchange != NULL)
    exchange_disconnected (exchange);
  links_reply (&proxy->links, event->link, event->xid, ERR_NONE, NULL, NULL);
}

/* A connection from a peer has ended: its requests are given up.  */
void
source_peer_on_closed (struct proxy *proxy, struct handle link)
{
  struct handle h = table_next (&proxy->exchanges, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&proxy->exchanges, h))
    {
      struct exchange *exchange = exchange_get (proxy, h);
      if (exchange->source.kind == SOURCE_PEER
          && handle_equal (exchange->source.u.peer.link, link))
        exchange_disconnected (exchange);
    }
}

#include "edge/exchange.h"

#include "edge/held_bytes.h"
#include "edge/proxy.h"
#include "types/request_digest.h"
#include "wire/wire_forward.h"

#include <string.h>

/* Lifetime */

/* Create an exchange for a request from a source of KIND.  */
struct exchange *
exchange_add (struct proxy *proxy, enum source_kind kind)
{
  struct handle h = table_add (&proxy->exchanges);
  struct exchange *exchange = table_get (&proxy->exchanges, h);

  exchange->proxy = proxy;
  exchange->self = h;
  exchange->source.kind = kind;
  exchange->request_length = -1;
  exchange->response.body_length = -1;
  body_init (&exchange->request_body);
  body_init (&exchange->response_body);
  return exchange;
}

/* Return the exchange with handle H, or NULL if it has ended.  */
struct exchange *
exchange_get (const struct proxy *proxy, struct handle h)
{
  return table_get (&proxy->exchanges, h);
}

/* Remove an exchange and abort its attempt, if one is in progress.  */
void
exchange_remove (struct exchange *exchange)
{
  target_abort (exchange);
  switch (exchange->source.kind)
    {
    case SOURCE_CALLER:
      source_caller_detach (exchange);
      break;
    case SOURCE_PEER:
      {
        struct stream_key key = { exchange->source.u.peer.link.bits,
                                  exchange->source.u.peer.stream };
        g_hash_table_remove (exchange->proxy->streams, &key);
        held_bytes_remove (exchange->holder);
      }
      break;
    }
  held_bytes_charge (exchange->holder, -BYTES_PER_REQUEST);
  exchange_digest_clear (exchange);
  body_clear (&exchange->request_body);
  body_clear (&exchange->response_body);
  g_clear_pointer (&exchange->request_headers, soup_message_headers_unref);
  g_clear_pointer (&exchange->response.headers, soup_message_headers_unref);
  g_free (exchange->method);
  g_free (exchange->host_header);
  g_free (exchange->request_target);
  table_remove (&exchange->proxy->exchanges, exchange->self);
}

/* Set the digest of the request of EXCHANGE from a caller, or begin to compute
   it if its body is not whole.  */
static void
set_digest (struct exchange *exchange)
{
  const struct body *body = &exchange->request_body;
  struct request *request = &exchange->request;

  request->head_digest = request_digest_of_head (
      exchange->method, exchange->request_target, exchange->host_header,
      dialect_caller (&exchange->proxy->dialect));
  if (body->is_complete)
    request_digest_set_body (
        request,
        request_digest_of_body (body_data (body), body_remaining (body)));
  else
    exchange_digest_begin (exchange);
}

/* Submit a request to the core for a decision.  Only the node that received it
   from a caller computes its digest; the other nodes use the digest that was
   forwarded.  */
void
exchange_submit (struct exchange *exchange)
{
  struct event event = { .kind = EVENT_REQUEST };

  if (exchange->source.kind == SOURCE_CALLER)
    set_digest (exchange);

  event.u.request.exchange = exchange->self;
  event.u.request.request = exchange->request;
  event.u.request.host = exchange->host_header;
  event.u.request.target = exchange->request_target;
  event.u.request.body_length = exchange->request_length;
  proxy_notify (exchange->proxy, &event);
}

/* Report to the core how the body of a request that was submitted has
   ended.  */
void
exchange_body_ended (struct exchange *exchange, enum body_end end)
{
  struct event event = { .kind = EVENT_BODY_ENDED };
  const struct body *body = &exchange->request_body;

  exchange_digest_end (exchange);
  event.u.body_ended.has_digest = exchange->request.has_body_digest;
  event.u.body_ended.digest = exchange->request.body_digest;
  event.u.body_ended.exchange = exchange->self;
  event.u.body_ended.end = end;
  event.u.body_ended.stated_bytes = exchange->request_length;
  event.u.body_ended.received_bytes
      = body->appended_bytes + body->dropped_bytes;
  event.u.body_ended.dropped_bytes = body->dropped_bytes;
  proxy_notify (exchange->proxy, &event);
}

/* Report to the core that the source has disconnected, so that the request is
   cancelled, and remove the exchange.  END says how the body ended if it was
   not received to its end.  */
void
exchange_disconnected (struct exchange *exchange, enum body_end end)
{
  struct proxy *proxy = exchange->proxy;
  struct event event = { .kind = EVENT_DISCONNECTED };

  if (!exchange->request_body.is_complete)
    exchange_body_ended (exchange, end);
  event.u.disconnected.exchange = exchange->self;
  exchange_remove (exchange);
  proxy_notify (proxy, &event);
}

/* Request path, towards the target */

/* Abort the attempt in progress, so that another one can start.  What has not
   been sent to another node is withdrawn.  */
void
target_abort (struct exchange *exchange)
{
  struct proxy *proxy = exchange->proxy;

  switch (exchange->target.kind)
    {
    case TARGET_NONE:
      break;
    case TARGET_SERVER:
      g_hash_table_remove (
          proxy->server_calls,
          GUINT_TO_POINTER (exchange->target.u.server.call.bits));
      http_abort (&proxy->http, exchange->target.u.server.call);
      break;
    case TARGET_PEER:
      {
        const struct target_peer *peer = &exchange->target.u.peer;
        struct link_tag tag = { 0 };
        links_withdraw (&proxy->links, peer->link, RPC_FORWARD_CHUNK,
                        peer->stream);
        if (links_withdraw (&proxy->links, peer->link, RPC_FORWARD_REQUEST,
                            peer->stream))
          break;
        links_call_on (&proxy->links, peer->link, RPC_CANCEL,
                       wire_forward_stream, &peer->stream, &tag,
                       exchange->request.deadline);
      }
      break;
    }
  memset (&exchange->target, 0, sizeof exchange->target);
}

/* Prepare another attempt: replay the request body from its start and discard
   what was received of the last response.  Return FALSE if the start of the
   body was discarded; the attempt has then been reported as ended, and
   EXCHANGE may have been removed.  */
gboolean
exchange_begin_attempt (struct exchange *exchange)
{
  if (!body_rewind (&exchange->request_body))
    {
      exchange_attempt_ended (exchange, OUTCOME_NOT_RUN, REASON_BODY_LOST);
      return FALSE;
    }
  body_reset (&exchange->response_body);
  g_clear_pointer (&exchange->response.headers, soup_message_headers_unref);
  exchange->has_response = FALSE;
  exchange->response.has_caller_fields = FALSE;
  exchange->response.has_notice = FALSE;
  return TRUE;
}

/* Abort the attempt of exchange H for the core.  */
void
exchange_cancel (struct proxy *proxy, struct handle h)
{
  struct exchange *exchange = exchange_get (proxy, h);

  if (exchange != NULL)
    target_abort (exchange);
}

/* Return how many buffered bytes of the request body may be sent.  */
gsize
exchange_sendable (const struct exchange *exchange)
{
  gsize left = body_remaining (&exchange->request_body);

  return exchange->withholds_end && left > 0 ? left - 1 : left;
}

/* Forward the buffered part of the request body to the target, and let the
   source send more if there is room.  */
void
exchange_pump_request (struct exchange *exchange)
{
  switch (exchange->target.kind)
    {
    case TARGET_NONE:
      break;
    case TARGET_SERVER:
      target_server_pump (exchange);
      break;
    case TARGET_PEER:
      target_peer_pump (exchange);
      break;
    }
  if (body_is_full (&exchange->request_body))
    return;
  switch (exchange->source.kind)
    {
    case SOURCE_CALLER:
      source_caller_resume (exchange);
      break;
    case SOURCE_PEER:
      source_peer_resume (exchange);
      break;
    }
}

/* Report the end of an attempt to the core, and forward the rest of a complete
   response.  EXCHANGE may have been removed on return.  */
void
exchange_attempt_ended (struct exchange *exchange, enum outcome outcome,
                        enum reason reason)
{
  struct proxy *proxy = exchange->proxy;
  struct handle self = exchange->self;
  struct event event = { .kind = EVENT_ATTEMPT_ENDED };

  memset (&exchange->target, 0, sizeof exchange->target);
  /* Consumed bytes are discarded when more arrive, and the next attempt may
     begin much later.  */
  body_rewind (&exchange->request_body);
  event.u.attempt_ended.exchange = self;
  event.u.attempt_ended.outcome = outcome;
  event.u.attempt_ended.reason = reason;
  event.u.attempt_ended.body_replayable
      = exchange->request_body.replayable && !exchange->has_response;
  event.u.attempt_ended.response_started
      = exchange->source.kind == SOURCE_CALLER
        && exchange->source.u.caller.head_sent;
  event.u.attempt_ended.load = exchange->response.load;
  event.u.attempt_ended.has_load = exchange->response.has_load;
  event.u.attempt_ended.has_notice = exchange->response.has_notice;
  event.u.attempt_ended.notice = exchange->response.notice;
  if (outcome == OUTCOME_NOT_RUN)
    {
      event.u.attempt_ended.stamp = exchange->response.stamp;
      event.u.attempt_ended.retry_after_msec
          = exchange->response.retry_after_msec;
    }
  if (outcome == OUTCOME_DONE)
    {
      proxy->counters.ended_by_outcome[OUTCOME_DONE]++;
      exchange->response_body.is_complete = TRUE;
      event.u.attempt_ended.http_status = exchange->response.http_status;
      event.u.attempt_ended.body_replayable
          = exchange->request_body.replayable
            && !event.u.attempt_ended.response_started;
    }
  proxy_notify (proxy, &event);
  exchange = exchange_get (proxy, self);
  if (exchange != NULL && outcome == OUTCOME_DONE)
    exchange_pump_response (exchange);
}

/* Response path, towards the source */

/* Forward the buffered part of the response.  EXCHANGE may have been removed
   on return.  */
void
exchange_pump_response (struct exchange *exchange)
{
  switch (exchange->source.kind)
    {
    case SOURCE_CALLER:
      source_caller_pump (exchange);
      break;
    case SOURCE_PEER:
      source_peer_pump (exchange);
      break;
    }
}

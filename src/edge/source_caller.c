#include "edge/exchange.h"

#include "edge/headers.h"
#include "edge/held_bytes.h"
#include "edge/proxy.h"

#include <string.h>

/* Advice to a caller whose request was refused for lack of memory: what does
   not move is closed after a second.  */
#define MEMORY_RETRY_MSEC 1000u

/* The response */

/* Write the head of the response.  A node that is leaving asks callers to
   close the connection, so that they connect to another node.  Return FALSE if
   the head has to wait for the responses before it.  */
static gboolean
write_head (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  struct proxy *proxy = exchange->proxy;
  struct response_head *head = &exchange->response;
  struct http_response response = { .status = head->http_status,
                                    .headers = head->headers,
                                    .body_length = head->body_length,
                                    .close = proxy->leaving };

  if (!head->has_caller_fields)
    dialect_add_response_headers (&proxy->dialect, exchange, head->headers);
  head->has_caller_fields = TRUE;
  caller->head_sent
      = http_server_respond (&proxy->callers, caller->request, &response);
  return caller->head_sent;
}

/* Write the buffered part of the response body, as far as it is taken.  Return
   whether the whole response was sent.  */
static gboolean
write_body (struct exchange *exchange)
{
  struct http_server *callers = &exchange->proxy->callers;
  struct handle request = exchange->source.u.caller.request;
  struct body *body = &exchange->response_body;

  body_pass_on (body, http_server_write (callers, request, body_data (body),
                                         body_remaining (body)));
  if (body_is_consumed (body))
    return http_server_finish (callers, request);
  http_server_flush (callers, request);
  return FALSE;
}

/* Forward the buffered part of the response if what was written before is
   sent, or held until its turn.  EXCHANGE is removed once the whole response
   was sent.  */
void
source_caller_pump (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  struct proxy *proxy = exchange->proxy;

  if (exchange->has_response && !caller->body_received)
    source_caller_resume (exchange);
  if (!exchange->has_response
      || http_server_is_full (&proxy->callers, caller->request))
    return;
  if (!caller->head_sent)
    {
      if (!write_head (exchange))
        return;
    }
  else if (body_remaining (&exchange->response_body) == 0
           && !exchange->response_body.is_complete)
    return;
  if (write_body (exchange))
    exchange_remove (exchange);
  else if (!exchange_takes_more (exchange))
    return;
  else if (exchange->target.kind == TARGET_SERVER)
    http_pause (&proxy->http, exchange->target.u.server.call, FALSE);
  else
    target_peer_read (exchange);
}

/* Take back what was written of the response.  Return FALSE if some of it may
   have been sent.  */
gboolean
source_caller_take_back (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;

  if (caller->head_sent
      && !http_server_take_back (&exchange->proxy->callers, caller->request))
    return FALSE;
  caller->head_sent = FALSE;
  return TRUE;
}

/* Start and end */

/* End a request that cannot be taken on, with REASON.  */
static void
end_unrouted (struct exchange *exchange, enum reason reason)
{
  struct action_answer action
      = { .exchange = exchange->self,
          .outcome = OUTCOME_NOT_RUN,
          .reason = reason,
          .retry_after_msec
          = reason == REASON_MEMORY ? MEMORY_RETRY_MSEC : 0 };

  exchange_answer (exchange->proxy, &action);
}

/* Start an exchange when the head of a caller's request was received.  A short
   body is received completely before the request is submitted; a long one is
   forwarded as it arrives.  */
static void
start (struct proxy *proxy, const struct http_server_event *event)
{
  struct exchange *exchange = exchange_add (proxy, SOURCE_CALLER);
  struct source_caller *caller = &exchange->source.u.caller;
  enum reason reason;

  proxy->counters.caller_requests++;
  caller->request = event->request;
  http_server_set_user (&proxy->callers, event->request, exchange->self);
  exchange_set_holder (exchange,
                       http_server_holder (&proxy->callers, event->request));
  exchange->method = g_strdup (event->head->method);
  exchange->request_target = g_strdup (event->head->target);
  exchange->request_length = event->body_length;
  reason = dialect_parse_request (&proxy->dialect, exchange,
                                  event->head->headers);
  if (reason == REASON_NONE && !held_bytes_may_begin (exchange->holder))
    reason = REASON_MEMORY;
  if (reason != REASON_NONE)
    {
      caller->submitted = TRUE;
      end_unrouted (exchange, reason);
    }
  else if ((exchange->request_length < 0
            || exchange->request_length > BODY_CHUNK_BYTES)
           && !http_server_has_left (&proxy->callers, event->request))
    {
      caller->submitted = TRUE;
      exchange_submit (exchange);
    }
}

/* Handle an event of a caller's request.  */
void
source_caller_on_event (struct proxy *proxy,
                        const struct http_server_event *event)
{
  struct exchange *exchange = exchange_get (proxy, event->user);

  if (event->kind == HTTP_SERVER_HEAD)
    start (proxy, event);
  if (exchange == NULL)
    return;
  switch (event->kind)
    {
    case HTTP_SERVER_HEAD:
      break;
    case HTTP_SERVER_DATA:
      caller_body_got_bytes (exchange, event->bytes, event->byte_count);
      break;
    case HTTP_SERVER_BATCH:
      if (exchange->source.u.caller.submitted)
        exchange_pump_request (exchange);
      break;
    case HTTP_SERVER_BODY_END:
      source_caller_received (exchange);
      break;
    case HTTP_SERVER_DRAINED:
      source_caller_pump (exchange);
      break;
    case HTTP_SERVER_SENT:
      exchange_remove (exchange);
      break;
    case HTTP_SERVER_LEFT:
      exchange_disconnected (exchange, event->code == ERR_CLOSED
                                           ? BODY_END_BROKEN_OFF
                                           : BODY_END_MALFORMED);
      break;
    }
}

/* Release the request of an exchange.  Its connection is closed unless the
   whole response was sent.  */
void
source_caller_detach (struct exchange *exchange)
{
  http_server_cut (&exchange->proxy->callers,
                   exchange->source.u.caller.request);
}

#include "edge/exchange.h"
#include "types/clock.h"

#include "edge/proxy.h"

#include <string.h>

/* Return the exchange that made the call of EVENT, or NULL if the attempt has
   ended.  */
static struct exchange *
find_exchange (const struct http_event *event, gpointer data)
{
  struct proxy *proxy = data;
  struct handle h = HANDLE_NONE;
  struct exchange *exchange;

  h.bits = GPOINTER_TO_UINT (g_hash_table_lookup (
      proxy->server_calls, GUINT_TO_POINTER (event->call.bits)));
  exchange = exchange_get (proxy, h);
  if (exchange == NULL || exchange->target.kind != TARGET_SERVER
      || !handle_equal (exchange->target.u.server.call, event->call))
    return NULL;
  return exchange;
}

/* The response */

/* End an attempt before its response is complete.  */
static void
fail_attempt (struct exchange *exchange, enum outcome outcome,
              enum reason reason)
{
  target_abort (exchange);
  exchange_attempt_ended (exchange, outcome, reason);
}

/* Report to the owner the load that the server reported.  */
static void
report_load (struct proxy *proxy, const struct event_server_load *load)
{
  struct event event = { .kind = EVENT_SERVER_LOAD };

  event.u.server_load = *load;
  event.u.server_load.measured_at = clock_usec ();
  proxy_notify (proxy, &event);
}

/* Handle the head of the response.  */
static void
on_response_head (struct exchange *exchange, const struct http_event *event)
{
  struct response_class class = dialect_classify_response (
      &exchange->proxy->dialect, exchange, event);

  if (class.has_load)
    report_load (exchange->proxy, &class.load);
  exchange->response.has_notice = class.has_notice;
  exchange->response.notice = class.notice;
  switch (class.kind)
    {
    case RESPONSE_FAILED:
      fail_attempt (exchange, class.u.attempt_end.outcome,
                    class.u.attempt_end.reason);
      break;
    case RESPONSE_MISMATCHED:
      http_skip_response (&exchange->proxy->http, event->call);
      break;
    case RESPONSE_ACCEPTED:
      exchange->target.has_head = TRUE;
      exchange->response.http_status = event->status;
      exchange->response.body_length = event->body_length;
      exchange->response.headers = class.u.headers;
      exchange->has_response = !exchange->proxy->buffer_responses;
      break;
    }
}

/* Return the reason for an attempt without a response that ended with
   CODE.  */
static enum reason
failure_reason (enum err code)
{
  switch (code)
    {
    case ERR_TIMEOUT:
      return REASON_DEADLINE;
    case ERR_MALFORMED:
    case ERR_TOO_LARGE:
      return REASON_BAD_RESPONSE;
    default:
      return REASON_SERVER_DOWN;
    }
}

/* Handle the end of the HTTP call.  */
static void
on_call_ended (struct exchange *exchange, const struct http_event *event)
{
  if (event->code == ERR_NONE)
    {
      exchange->has_response = TRUE;
      exchange_attempt_ended (exchange, OUTCOME_DONE, REASON_NONE);
    }
  else if (exchange->target.has_head)
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else if (!event->any_sent)
    exchange_attempt_ended (exchange, OUTCOME_NOT_RUN,
                            event->code == ERR_TIMEOUT ? REASON_DEADLINE
                                                       : REASON_SERVER_DOWN);
  else
    exchange_attempt_ended (exchange, OUTCOME_UNKNOWN,
                            failure_reason (event->code));
}

/* Handle an event of an HTTP call to the backend server.  */
static void
on_server_event (const struct http_event *event, gpointer data)
{
  struct exchange *exchange = find_exchange (event, data);
  struct proxy *proxy = data;

  if (event->kind == HTTP_ENDED)
    g_hash_table_remove (proxy->server_calls,
                         GUINT_TO_POINTER (event->call.bits));
  if (exchange == NULL)
    return;
  switch (event->kind)
    {
    case HTTP_HEAD:
      on_response_head (exchange, event);
      break;
    case HTTP_DATA:
      exchange->proxy->counters.answer_bytes += event->byte_count;
      body_append (&exchange->response_body, event->bytes, event->byte_count);
      if (!body_is_full (&exchange->response_body))
        break;
      exchange->has_response = TRUE;
      if (!exchange_takes_more (exchange))
        http_pause (&proxy->http, event->call, TRUE);
      break;
    case HTTP_BATCH_END:
      exchange_pump_response (exchange);
      break;
    case HTTP_DRAINED:
      exchange_pump_request (exchange);
      break;
    case HTTP_ENDED:
      on_call_ended (exchange, event);
      break;
    }
}

/* Interface */

/* Send a request to the backend server.  */
void
exchange_run (struct proxy *proxy, const struct action_run *action)
{
  struct exchange *exchange = exchange_get (proxy, action->exchange);
  struct http_request request = { 0 };

  if (exchange == NULL || !exchange_begin_attempt (exchange))
    return;
  request.address = proxy->server_address;
  request.method = exchange->method;
  request.target = exchange->request_target;
  request.headers = dialect_server_headers (&proxy->dialect, exchange, action);
  request.body_length = exchange->request_length;
  request.deadline = action->deadline;
  exchange->response.stamp = action->stamp;
  exchange->response.owner_address = (struct address){ 0, 0 };
  exchange->withholds_end = action->withholds_end;
  exchange->target.kind = TARGET_SERVER;
  exchange->target.u.server.attempt_id = action->attempt_id;
  g_strlcpy (exchange->target.u.server.expected_server, action->server,
             NAME_SIZE);
  exchange->target.u.server.call
      = http_start (&proxy->http, &request, on_server_event, proxy);
  g_hash_table_insert (proxy->server_calls,
                       GUINT_TO_POINTER (exchange->target.u.server.call.bits),
                       GUINT_TO_POINTER (exchange->self.bits));
  soup_message_headers_unref (request.headers);
  exchange_pump_request (exchange);
}

/* Forward the buffered part of the request body to the server.  */
void
target_server_pump (struct exchange *exchange)
{
  struct http *http = &exchange->proxy->http;
  struct handle call = exchange->target.u.server.call;
  gsize left = exchange_sendable (exchange);

  if (left > 0 && http_unsent (http, call) < BODY_QUEUE_BYTES)
    {
      http_write (http, call, body_data (&exchange->request_body), left);
      body_consume (&exchange->request_body, left);
    }
  if (body_is_consumed (&exchange->request_body))
    http_finish (http, call);
}

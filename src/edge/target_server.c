#include "edge/exchange.h"

#include "edge/headers.h"
#include "edge/node.h"

#include <string.h>

/* The exchange whose call EVENT is about, or NULL if the attempt is over.  */
static struct exchange *
exchange_of (const struct http_event *event, gpointer data)
{
  struct node *node = data;
  struct handle h = HANDLE_NONE;
  struct exchange *exchange;

  h.bits = GPOINTER_TO_UINT (g_hash_table_lookup (
      node->server_calls, GUINT_TO_POINTER (event->call.bits)));
  exchange = exchange_at (node, h);
  if (exchange == NULL || exchange->target.kind != TARGET_SERVER
      || !handle_equal (exchange->target.u.server.call, event->call))
    return NULL;
  return exchange;
}

/* Headers */

/* Add a header with a number.  */
static void
add_number (SoupMessageHeaders *headers, const char *name, gint64 value)
{
  char *text = g_strdup_printf ("%" G_GINT64_FORMAT, value);

  soup_message_headers_replace (headers, name, text);
  g_free (text);
}

/* The headers for the backend server: the caller's, and what fences the
   request.  The lease's end is a time of the host's monotonic clock, which
   the server beside this node shares.  */
static SoupMessageHeaders *
server_headers (const struct exchange *exchange,
                const struct action_run *action)
{
  SoupMessageHeaders *headers = headers_copy (exchange->headers);
  char *fence = fence_format (action->fence);
  gint64 left = action->deadline - g_get_monotonic_time ();

  add_number (headers, HEADER_ATTEMPT, (gint64)action->attempt_id);
  add_number (headers, HEADER_TIMEOUT, MAX (1, left / USEC_PER_MSEC));
  if (exchange->request.key[0] != '\0')
    {
      soup_message_headers_replace (headers, HEADER_FENCE, fence);
      soup_message_headers_replace (headers, HEADER_KEY,
                                    exchange->request.key);
      add_number (headers, HEADER_SLICE, action->slice);
      add_number (headers, HEADER_LEASE, exchange->node->core.lease.until);
    }
  g_free (fence);
  return headers;
}

/* The answer */

/* Tell whether the answer echoes the attempt it belongs to.  */
static gboolean
echoes_attempt (const struct exchange *exchange, SoupMessageHeaders *headers)
{
  const char *value = soup_message_headers_get_one (headers, HEADER_ATTEMPT);

  return value != NULL
         && g_ascii_strtoull (value, NULL, 10)
                == exchange->target.u.server.attempt_id;
}

/* End the attempt before its answer has come whole.  */
static void
end_early (struct exchange *exchange, enum outcome outcome, enum reason reason)
{
  target_drop (exchange);
  exchange_target_ended (exchange, outcome, reason);
}

/* The head of the answer has come.  */
static void
take_head (struct exchange *exchange, const struct http_event *event)
{
  const char *outcome
      = soup_message_headers_get_one (event->headers, HEADER_OUTCOME);
  const char *reason
      = soup_message_headers_get_one (event->headers, HEADER_REASON);

  if (!echoes_attempt (exchange, event->headers))
    {
      end_early (exchange, OUTCOME_UNKNOWN, REASON_CROSSED);
      return;
    }
  if (outcome != NULL && strcmp (outcome, outcome_name (OUTCOME_NOT_RUN)) == 0)
    {
      end_early (exchange, OUTCOME_NOT_RUN,
                 reason != NULL ? reason_parse (reason) : REASON_SERVER_DOWN);
      return;
    }
  exchange->target.has_head = TRUE;
  exchange->head.status = event->status;
  exchange->head.length = event->length;
  exchange->head.headers = headers_copy (event->headers);
  exchange->has_answer = TRUE;
}

/* The attempt has ended.  */
static void
take_end (struct exchange *exchange, const struct http_event *event)
{
  if (event->code != ERR_NONE && event->code != ERR_TIMEOUT)
    server_poll_soon (exchange->node);
  if (event->code == ERR_NONE)
    exchange_target_ended (exchange, OUTCOME_DONE, REASON_NONE);
  else if (exchange->target.has_head)
    exchange_target_ended (exchange, OUTCOME_UNKNOWN, REASON_TRUNCATED);
  else if (!event->sent)
    exchange_target_ended (exchange, OUTCOME_NOT_RUN, REASON_SERVER_DOWN);
  else
    exchange_target_ended (exchange, OUTCOME_UNKNOWN,
                           event->code == ERR_TIMEOUT ? REASON_DEADLINE
                                                      : REASON_SERVER_DOWN);
}

/* Something happened to a call to the backend server.  */
static void
on_server_event (const struct http_event *event, gpointer data)
{
  struct exchange *exchange = exchange_of (event, data);
  struct node *node = data;

  if (event->kind == HTTP_ENDED)
    g_hash_table_remove (node->server_calls,
                         GUINT_TO_POINTER (event->call.bits));
  if (exchange == NULL)
    return;
  switch (event->kind)
    {
    case HTTP_HEAD:
      take_head (exchange, event);
      break;
    case HTTP_DATA:
      exchange->node->counters.bytes_out += event->count;
      body_add (&exchange->out, event->bytes, event->count);
      if (body_is_full (&exchange->out))
        http_pause (&node->http, event->call, TRUE);
      break;
    case HTTP_FLUSH:
      exchange_pump_out (exchange);
      break;
    case HTTP_DRAINED:
      exchange_pump_in (exchange);
      break;
    case HTTP_ENDED:
      take_end (exchange, event);
      break;
    }
}

/* Interface */

/* Have the backend server run a request.  */
void
exchange_run (struct node *node, const struct action_run *action)
{
  struct exchange *exchange = exchange_at (node, action->exchange);
  struct http_request request = { 0 };

  if (exchange == NULL)
    return;
  body_rewind (&exchange->in);
  request.to = node->server;
  request.method = exchange->method;
  request.target = exchange->path;
  request.headers = server_headers (exchange, action);
  request.length = exchange->length;
  request.deadline = action->deadline;
  exchange->head.stamp = action->stamp;
  exchange->head.owner = (struct address){ 0, 0 };
  exchange->target.kind = TARGET_SERVER;
  exchange->target.u.server.attempt_id = action->attempt_id;
  exchange->target.u.server.call
      = http_start (&node->http, &request, on_server_event, node);
  g_hash_table_insert (node->server_calls,
                       GUINT_TO_POINTER (exchange->target.u.server.call.bits),
                       GUINT_TO_POINTER (exchange->self.bits));
  soup_message_headers_unref (request.headers);
  exchange_pump_in (exchange);
}

/* Pass on what there is of the request's body to the server.  */
void
target_server_pump (struct exchange *exchange)
{
  struct http *http = &exchange->node->http;
  struct handle call = exchange->target.u.server.call;
  gsize left = body_left (&exchange->in);

  if (left > 0 && http_unsent (http, call) < BODY_QUEUE_BYTES)
    {
      http_write (http, call, body_next (&exchange->in), left);
      body_pass (&exchange->in, left);
    }
  if (body_is_passed (&exchange->in))
    http_finish (http, call);
}

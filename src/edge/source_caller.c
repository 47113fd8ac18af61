#include "edge/exchange.h"

#include "edge/headers.h"
#include "edge/proxy.h"

#include <string.h>

#define EXCHANGE_DATA "bambootally-exchange" /* exchange handle */

/* Return the exchange of MESSAGE, or NULL.  */
struct exchange *
source_caller_find (SoupServerMessage *message, struct proxy *proxy)
{
  struct handle h = { GPOINTER_TO_UINT (
      g_object_get_data (G_OBJECT (message), EXCHANGE_DATA)) };

  return exchange_get (proxy, h);
}

/* The response */

/* Send the head of the response.  A node that is leaving asks callers to close
   the connection, so that they connect to another node.  */
static void
send_head (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  const struct response_head *head = &exchange->response;
  SoupMessageHeaders *headers
      = soup_server_message_get_response_headers (caller->message);
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  soup_server_message_set_status (caller->message, head->http_status, NULL);
  soup_message_headers_iter_init (&iter, head->headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    soup_message_headers_append (headers, name, value);
  dialect_add_response_headers (&exchange->proxy->dialect, exchange, headers);
  if (exchange->proxy->leaving)
    soup_message_headers_replace (headers, "Connection", "close");
  if (head->body_length >= 0)
    soup_message_headers_set_content_length (headers, head->body_length);
  else
    soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (
      soup_server_message_get_response_body (caller->message), FALSE);
  caller->head_sent = TRUE;
}

/* Give the next part of the response body to libsoup.  */
static void
send_body_part (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  SoupMessageBody *body
      = soup_server_message_get_response_body (caller->message);
  gsize left = body_remaining (&exchange->response_body);

  if (left > 0)
    {
      soup_message_body_append (body, SOUP_MEMORY_COPY,
                                body_data (&exchange->response_body), left);
      body_consume (&exchange->response_body, left);
      caller->write_pending = TRUE;
    }
  if (body_is_consumed (&exchange->response_body)
      && !caller->response_complete)
    {
      soup_message_body_complete (body);
      caller->response_complete = TRUE;
    }
  soup_server_message_unpause (caller->message);
}

/* Forward the buffered part of the response, one part at a time.  */
void
source_caller_pump (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;

  if (exchange->has_response && !caller->body_received)
    source_caller_resume (exchange);
  if (!exchange->has_response || !caller->body_received
      || caller->write_pending || caller->response_complete)
    return;
  if (!caller->head_sent)
    send_head (exchange);
  else if (body_remaining (&exchange->response_body) == 0
           && !exchange->response_body.is_complete)
    return;
  send_body_part (exchange);
  if (exchange->target.kind == TARGET_SERVER)
    http_pause (&exchange->proxy->http, exchange->target.u.server.call, FALSE);
  else
    target_peer_read (exchange);
}

/* Handle the end of writing a part of the response.  */
static void
on_wrote_chunk (SoupServerMessage *message, gpointer data)
{
  struct exchange *exchange = source_caller_find (message, data);

  if (exchange == NULL)
    return;
  exchange->source.u.caller.write_pending = FALSE;
  source_caller_pump (exchange);
}

/* Shut the connection down, so that the caller does not take the response for
   a complete one.  */
void
source_caller_abort (struct exchange *exchange)
{
  SoupServerMessage *message = exchange->source.u.caller.message;
  GSocket *socket = soup_server_message_get_socket (message);

  if (socket != NULL)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
  soup_server_message_unpause (message);
}

/* Handle the end of a message: the response was sent, or the caller
   disconnected.  */
static void
on_finished (SoupServerMessage *message, gpointer data)
{
  struct exchange *exchange = source_caller_find (message, data);

  if (exchange == NULL)
    return;
  if (exchange->source.u.caller.response_complete)
    exchange_remove (exchange);
  else
    exchange_disconnected (exchange);
}

/* Start and end */

/* End a request that cannot be routed, with REASON.  */
static void
end_unrouted (struct exchange *exchange, enum reason reason)
{
  struct action_answer action = { .exchange = exchange->self,
                                  .outcome = OUTCOME_NOT_RUN,
                                  .reason = reason };

  exchange_answer (exchange->proxy, &action);
}

/* Start an exchange when the headers of a caller's request were received.  A
   short body is received completely before the request is submitted; a long
   one is forwarded as it arrives.  */
void
source_caller_attach (struct proxy *proxy, SoupServerMessage *message)
{
  struct exchange *exchange = exchange_add (proxy, SOURCE_CALLER);
  struct source_caller *caller = &exchange->source.u.caller;
  SoupMessageHeaders *headers
      = soup_server_message_get_request_headers (message);
  GUri *uri = soup_server_message_get_uri (message);
  const char *query = g_uri_get_query (uri);
  enum reason reason;

  proxy->counters.caller_requests++;
  caller->message = g_object_ref (message);
  g_object_set_data (G_OBJECT (message), EXCHANGE_DATA,
                     GUINT_TO_POINTER (exchange->self.bits));
  exchange->method = g_strdup (soup_server_message_get_method (message));
  exchange->request_target
      = g_strdup_printf ("%s%s%s", g_uri_get_path (uri),
                         query != NULL ? "?" : "", query != NULL ? query : "");
  if (soup_message_headers_get_encoding (headers) != SOUP_ENCODING_CHUNKED)
    exchange->request_length
        = soup_message_headers_get_content_length (headers);
  soup_message_body_set_accumulate (
      soup_server_message_get_request_body (message), FALSE);
  g_signal_connect (message, "got-chunk", G_CALLBACK (caller_body_got_chunk),
                    proxy);
  g_signal_connect (message, "wrote-chunk", G_CALLBACK (on_wrote_chunk),
                    proxy);
  g_signal_connect (message, "finished", G_CALLBACK (on_finished), proxy);
  reason = dialect_parse_request (&proxy->dialect, exchange, headers);
  if (reason != REASON_NONE)
    {
      caller->submitted = TRUE;
      end_unrouted (exchange, reason);
    }
  else if ((exchange->request_length < 0
            || exchange->request_length > BODY_CHUNK_BYTES)
           && !caller_watch_has_left (exchange))
    {
      caller->submitted = TRUE;
      exchange_submit (exchange);
    }
}

/* Release the message of an exchange.  */
void
source_caller_detach (struct exchange *exchange)
{
  SoupServerMessage *message = exchange->source.u.caller.message;

  caller_watch_stop (exchange);
  g_signal_handlers_disconnect_by_data (message, exchange->proxy);
  g_object_unref (message);
}

/* Handle a request that was received completely.  MESSAGE has no exchange if
   the request was ended already.  */
void
source_caller_handle (struct proxy *proxy, SoupServerMessage *message)
{
  struct exchange *exchange = source_caller_find (message, proxy);

  if (exchange != NULL)
    source_caller_received (exchange);
  else
    soup_server_message_set_status (message, SOUP_STATUS_NOT_FOUND, NULL);
}

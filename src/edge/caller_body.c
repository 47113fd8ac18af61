#include "edge/exchange.h"

#include "edge/proxy.h"

/* The body of a request from a caller.  */

/* Return whether bytes of the request body are of no use any more: the
   response is there, and the target has ended or does not read on.  libsoup
   sends the response only when it has read the whole request.  */
static gboolean
drops_body (const struct exchange *exchange)
{
  return exchange->has_response
         && (exchange->target.kind == TARGET_NONE
             || body_is_full (&exchange->request_body));
}

/* Handle a part of the request body.  Reading is suspended if the buffer is
   full and there is no response; the caller's connection is watched
   meanwhile.  */
void
caller_body_got_chunk (SoupServerMessage *message, GBytes *chunk,
                       gpointer data)
{
  struct proxy *proxy = data;
  struct exchange *exchange = source_caller_find (message, proxy);
  gsize count;
  const guint8 *bytes = g_bytes_get_data (chunk, &count);

  if (exchange == NULL)
    return;
  if (drops_body (exchange))
    {
      body_drop (&exchange->request_body, count);
      return;
    }
  proxy->counters.request_bytes += count;
  body_append (&exchange->request_body, bytes, count);
  if (exchange->source.u.caller.submitted)
    exchange_pump_request (exchange);
  exchange = source_caller_find (message, proxy);
  if (exchange == NULL || !body_is_full (&exchange->request_body)
      || exchange->has_response)
    return;
  exchange->source.u.caller.body_paused = TRUE;
  soup_server_message_pause (message);
  caller_watch_start (exchange);
}

/* Resume reading the request body.  */
void
source_caller_resume (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;

  if (!caller->body_paused)
    return;
  caller->body_paused = FALSE;
  caller_watch_stop (exchange);
  soup_server_message_unpause (caller->message);
}

/* Handle the end of the request body.  A node that lags may read a request
   after its caller has left; such a request is not submitted.  */
void
source_caller_received (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  struct proxy *proxy = exchange->proxy;
  struct handle self = exchange->self;

  caller->body_received = TRUE;
  exchange->request_body.is_complete = TRUE;
  soup_server_message_pause (caller->message);
  caller_watch_start (exchange);
  if (!caller->submitted && caller_watch_has_left (exchange))
    {
      proxy->counters.left_before_read++;
      caller_watch_cancel (exchange);
    }
  else if (!caller->submitted)
    {
      caller->submitted = TRUE;
      exchange_submit (exchange);
    }
  else
    {
      exchange_body_ended (exchange, BODY_END_WHOLE);
      exchange_pump_request (exchange);
    }
  exchange = exchange_get (proxy, self);
  if (exchange != NULL)
    source_caller_pump (exchange);
}

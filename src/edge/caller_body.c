#include "edge/exchange.h"

#include "edge/proxy.h"

/* The body of a request from a caller.  */

/* Return whether bytes of the request body are of no use any more: the
   response is there, and the target has ended or does not read on.  */
static gboolean
drops_body (const struct exchange *exchange)
{
  return exchange->has_response
         && (exchange->target.kind == TARGET_NONE
             || body_is_full (&exchange->request_body));
}

/* Handle COUNT bytes of the request body.  Reading is suspended if the buffer
   is full and there is no response.  */
void
caller_body_got_bytes (struct exchange *exchange, const guint8 *bytes,
                       gsize count)
{
  struct source_caller *caller = &exchange->source.u.caller;
  struct proxy *proxy = exchange->proxy;

  if (drops_body (exchange))
    {
      body_drop (&exchange->request_body, count);
      return;
    }
  proxy->counters.request_bytes += count;
  exchange_append_request (exchange, bytes, count);
  if (!body_is_full (&exchange->request_body) || exchange->has_response)
    return;
  caller->body_paused = TRUE;
  http_server_pause (&proxy->callers, caller->request, TRUE);
}

/* Resume reading the request body.  */
void
source_caller_resume (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;

  if (!caller->body_paused)
    return;
  caller->body_paused = FALSE;
  http_server_pause (&exchange->proxy->callers, caller->request, FALSE);
}

/* Handle the end of a whole request body.  A node that lags may read a request
   after its caller has left; such a request is not submitted.  */
void
source_caller_received (struct exchange *exchange)
{
  struct source_caller *caller = &exchange->source.u.caller;
  struct proxy *proxy = exchange->proxy;
  struct handle self = exchange->self;

  caller->body_received = TRUE;
  exchange->request_body.is_complete = TRUE;
  if (!caller->submitted
      && http_server_has_left (&proxy->callers, caller->request))
    {
      proxy->counters.left_before_read++;
      exchange_disconnected (exchange, BODY_END_BROKEN_OFF);
      return;
    }
  if (caller->submitted)
    {
      exchange_body_ended (exchange, BODY_END_WHOLE);
      exchange = exchange_get (proxy, self);
      if (exchange == NULL)
        return;
      exchange->withholds_end = FALSE;
      exchange_pump_request (exchange);
    }
  else
    {
      caller->submitted = TRUE;
      exchange_submit (exchange);
    }
  exchange = exchange_get (proxy, self);
  if (exchange != NULL)
    source_caller_pump (exchange);
}

#include "edge/exchange.h"

#include "edge/proxy.h"

/* Fill in an error response of this node for ACTION, in place of what was
   received of an answer.  */
static void
fill_error (struct exchange *exchange, const struct action_answer *action)
{
  struct response_head *head = &exchange->response;

  g_clear_pointer (&head->headers, soup_message_headers_unref);
  head->headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_MULTIPART);
  head->has_caller_fields = FALSE;
  body_reset (&exchange->response_body);
  dialect_fill_error (&exchange->proxy->dialect, exchange, action);
  exchange->response_body.is_complete = TRUE;
  exchange->has_response = TRUE;
}

/* End an exchange with the outcome in ACTION, decided by the core.  A response
   of which some was sent is cut off, so that the source never takes it for a
   complete one.  One that waits for its turn on the caller's connection is
   replaced: to cut it off would also lose the responses behind it.  */
void
exchange_answer (struct proxy *proxy, const struct action_answer *action)
{
  struct exchange *exchange = exchange_get (proxy, action->exchange);

  if (exchange == NULL)
    return;
  proxy->counters.ended_by_outcome[action->outcome]++;
  proxy->counters.refused_by_reason[action->reason]++;
  target_abort (exchange);
  switch (exchange->source.kind)
    {
    case SOURCE_CALLER:
      if (exchange->has_response && !source_caller_take_back (exchange))
        exchange_remove (exchange);
      else
        {
          fill_error (exchange, action);
          source_caller_resume (exchange);
          source_caller_pump (exchange);
        }
      break;
    case SOURCE_PEER:
      source_peer_fail (exchange, action);
      break;
    }
}

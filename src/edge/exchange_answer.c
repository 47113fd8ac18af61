#include "edge/exchange.h"

#include "edge/proxy.h"

/* Fill in an answer of this node's own to ACTION.  */
static void
fill_answer (struct exchange *exchange, const struct action_answer *action)
{
  struct answer_head *head = &exchange->head;

  g_clear_pointer (&head->headers, soup_message_headers_unref);
  head->headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_MULTIPART);
  dialect_fill_refusal (&exchange->proxy->dialect, exchange, action);
  exchange->out.end = TRUE;
  exchange->has_answer = TRUE;
}

/* End a request with the outcome that the core decided.  An answer that has
   begun is broken off, so that it is never taken for whole.  */
void
exchange_answer (struct proxy *proxy, const struct action_answer *action)
{
  struct exchange *exchange = exchange_at (proxy, action->exchange);

  if (exchange == NULL)
    return;
  proxy->counters.outcomes[action->outcome]++;
  proxy->counters.refused[action->reason]++;
  target_drop (exchange);
  switch (exchange->source.kind)
    {
    case SOURCE_CALLER:
      if (exchange->has_answer)
        source_caller_break (exchange);
      else
        {
          fill_answer (exchange, action);
          source_caller_resume (exchange);
          source_caller_pump (exchange);
        }
      break;
    case SOURCE_PEER:
      source_peer_break (exchange, action);
      break;
    }
}

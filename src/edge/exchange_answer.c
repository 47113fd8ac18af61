#include "edge/exchange.h"

#include "edge/headers.h"
#include "edge/node.h"

#include <string.h>

/* The HTTP status that goes with an outcome other than done.  */
static guint
status_of (enum outcome outcome, enum reason reason)
{
  if (outcome == OUTCOME_UNKNOWN)
    return SOUP_STATUS_GATEWAY_TIMEOUT;
  switch (reason)
    {
    case REASON_NO_RULE:
      return SOUP_STATUS_NOT_FOUND;
    case REASON_NO_KEY:
    case REASON_BAD_REQUEST:
      return SOUP_STATUS_BAD_REQUEST;
    case REASON_NO_STAMP:
    case REASON_OLD_STAMP:
    case REASON_DUPLICATE:
      return SOUP_STATUS_CONFLICT;
    default:
      return SOUP_STATUS_SERVICE_UNAVAILABLE;
    }
}

/* Fill in an answer of this node's own to ACTION.  */
static void
fill_answer (struct exchange *exchange, const struct action_answer *action)
{
  struct answer_head *head = &exchange->head;
  char *text = g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
                                outcome_name (action->outcome),
                                reason_name (action->reason));

  g_clear_pointer (&head->headers, soup_message_headers_unref);
  head->headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_MULTIPART);
  head->status = status_of (action->outcome, action->reason);
  head->length = (gint64)strlen (text);
  head->stamp = action->stamp;
  soup_message_headers_append (head->headers, "Content-Type",
                               "application/json");
  soup_message_headers_append (head->headers, HEADER_OUTCOME,
                               outcome_name (action->outcome));
  soup_message_headers_append (head->headers, HEADER_REASON,
                               reason_name (action->reason));
  if (action->retry_msec > 0)
    {
      char *seconds
          = g_strdup_printf ("%u", (action->retry_msec + 999) / 1000);
      soup_message_headers_append (head->headers, "Retry-After", seconds);
      g_free (seconds);
    }
  body_add (&exchange->out, (const guint8 *)text, strlen (text));
  exchange->out.end = TRUE;
  exchange->has_answer = TRUE;
  g_free (text);
}

/* End a request with the outcome that the core decided.  An answer that has
   begun is broken off, so that it is never taken for whole.  */
void
exchange_answer (struct node *node, const struct action_answer *action)
{
  struct exchange *exchange = exchange_at (node, action->exchange);

  if (exchange == NULL)
    return;
  node->counters.outcomes[action->outcome]++;
  node->counters.refused[action->reason]++;
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

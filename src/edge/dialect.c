#include "edge/dialect.h"

#include "edge/exchange.h"

/* Fill in what routing needs to know of a request from its HEADERS.  Return
   why it cannot be routed, or REASON_NONE.  */
enum reason
dialect_parse_request (const struct dialect *dialect,
                       struct exchange *exchange, SoupMessageHeaders *headers)
{
  switch (dialect->kind)
    {
    case DIALECT_OWN:
      return dialect_own_parse_request (&dialect->u.own, exchange, headers);
    case DIALECT_PLATFORM:
      return dialect_platform_parse_request (&dialect->u.platform, exchange,
                                             headers);
    }
  return REASON_BAD_REQUEST;
}

/* The headers with which the backend server is asked to run a request; the
   caller releases them.  */
SoupMessageHeaders *
dialect_server_headers (const struct dialect *dialect,
                        const struct exchange *exchange,
                        const struct action_run *action)
{
  switch (dialect->kind)
    {
    case DIALECT_OWN:
      return dialect_own_server_headers (&dialect->u.own, exchange, action);
    case DIALECT_PLATFORM:
      return dialect_platform_server_headers (exchange, action);
    }
  return NULL;
}

/* Judge the head of the backend server's answer.  */
struct response_class
dialect_classify_response (const struct dialect *dialect,
                           const struct exchange *exchange,
                           const struct http_event *event)
{
  switch (dialect->kind)
    {
    case DIALECT_OWN:
      return dialect_own_classify_response (exchange, event);
    case DIALECT_PLATFORM:
      return dialect_platform_classify_response (exchange, event);
    }
  g_assert_not_reached ();
}

/* Fill in an answer of this node's own, as ACTION has the request end.  */
void
dialect_fill_error (const struct dialect *dialect, struct exchange *exchange,
                    const struct action_answer *action)
{
  switch (dialect->kind)
    {
    case DIALECT_OWN:
      dialect_own_fill_error (exchange, action);
      break;
    case DIALECT_PLATFORM:
      dialect_platform_fill_error (exchange, action);
      break;
    }
}

/* Add what the head of an answer to a caller says besides the headers that
   are handed on.  */
void
dialect_add_response_headers (const struct dialect *dialect,
                              const struct exchange *exchange,
                              SoupMessageHeaders *headers)
{
  switch (dialect->kind)
    {
    case DIALECT_OWN:
      dialect_own_add_response_headers (exchange, headers);
      break;
    case DIALECT_PLATFORM:
      break;
    }
}

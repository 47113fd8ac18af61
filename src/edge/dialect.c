#include "edge/dialect.h"

#include "edge/exchange.h"

/* Return the service whose host requests enter at, NULL if servers are not
   told that.  */
const char *
dialect_caller (const struct dialect *dialect)
{
  switch (dialect->kind)
    {
    case DIALECT_OWN:
      return NULL;
    case DIALECT_PLATFORM:
      return dialect->u.platform.caller_service;
    }
  return NULL;
}

/* Fill in the properties of a request that routing needs, from its HEADERS.
   Return the reason why it cannot be routed, or REASON_NONE.  */
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

/* Return the headers of the request to the backend server for ACTION.  The
   caller of this function releases them.  */
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

/* Classify the backend server's response by its head in EVENT.  */
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

/* Fill in an error response of this node with the outcome in ACTION.  */
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

/* Add the headers of a response to a caller that are not forwarded.  */
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

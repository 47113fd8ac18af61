#include "edge/dialect_own.h"

#include "decide/rule.h"
#include "edge/exchange.h"
#include "edge/headers.h"
#include "types/clock.h"

#include <string.h>

/* Requests */

/* Return the value of the header NAME, or NULL.  */
static const char *
find_header (gpointer data, const char *name)
{
  return soup_message_headers_get_one (data, name);
}

/* Fill in the properties of a request that routing needs, from its HEADERS.
   Return the reason why it cannot be routed, or REASON_NONE.  The deadline is
   the service's timeout, or the caller's if that is shorter.  */
enum reason
dialect_own_parse_request (const struct dialect_own *own,
                           struct exchange *exchange,
                           SoupMessageHeaders *headers)
{
  struct request *request = &exchange->request;
  const char *id = soup_message_headers_get_one (headers, HEADER_ID);
  const char *stamp = soup_message_headers_get_one (headers, HEADER_STAMP);
  const char *timeout = soup_message_headers_get_one (headers, HEADER_TIMEOUT);
  const struct config_service *service;
  enum reason reason;
  gint64 timeout_msec;

  exchange->request_headers = headers_copy_end_to_end (headers);
  reason = rule_match (own->config, exchange->method, exchange->request_target,
                       find_header, headers, request);
  if (reason != REASON_NONE)
    return reason;
  if ((id != NULL && strlen (id) >= sizeof request->id)
      || (stamp != NULL && !headers_parse_stamp (stamp, &request->stamp)))
    return REASON_BAD_REQUEST;
  if (id != NULL)
    g_strlcpy (request->id, id, sizeof request->id);
  service = config_find_service (own->config, request->service);
  timeout_msec = service->timeout_msec;
  if (timeout != NULL && g_ascii_strtoll (timeout, NULL, 10) > 0)
    timeout_msec = MIN (timeout_msec, g_ascii_strtoll (timeout, NULL, 10));
  request->deadline = clock_usec () + timeout_msec * USEC_PER_MSEC;
  return REASON_NONE;
}

/* The backend server */

/* Return the headers of the request to the backend server for ACTION: the
   caller's, the attempt, the time left, and for a keyed request the fence.
   The end of the lease is a time of the host's clock, which the server on the
   same host shares.  */
SoupMessageHeaders *
dialect_own_server_headers (const struct dialect_own *own,
                            const struct exchange *exchange,
                            const struct action_run *action)
{
  SoupMessageHeaders *headers
      = headers_copy_end_to_end (exchange->request_headers);
  char *fence = fence_format (action->fence);
  gint64 left_usec = action->deadline - clock_usec ();

  headers_set_number (headers, HEADER_ATTEMPT, (gint64)action->attempt_id);
  headers_set_number (headers, HEADER_TIMEOUT,
                      MAX (1, left_usec / USEC_PER_MSEC));
  if (exchange->request.key[0] != '\0')
    {
      soup_message_headers_replace (headers, HEADER_FENCE, fence);
      soup_message_headers_replace (headers, HEADER_KEY,
                                    exchange->request.key);
      headers_set_number (headers, HEADER_SLICE, action->slice);
      headers_set_number (headers, HEADER_LEASE, *own->lease_until);
    }
  g_free (fence);
  return headers;
}

/* Return TRUE if the response echoes the id of the attempt.  */
static gboolean
echoes_attempt (const struct exchange *exchange, SoupMessageHeaders *headers)
{
  const char *value = soup_message_headers_get_one (headers, HEADER_ATTEMPT);

  return value != NULL
         && g_ascii_strtoull (value, NULL, 10)
                == exchange->target.u.server.attempt_id;
}

/* Classify the backend server's response by its head in EVENT.  */
struct response_class
dialect_own_classify_response (const struct exchange *exchange,
                               const struct http_event *event)
{
  const char *outcome
      = soup_message_headers_get_one (event->headers, HEADER_OUTCOME);
  const char *reason
      = soup_message_headers_get_one (event->headers, HEADER_REASON);
  struct response_class class = { .kind = RESPONSE_FAILED };

  class.u.attempt_end.outcome = OUTCOME_UNKNOWN;
  class.u.attempt_end.reason = REASON_ATTEMPT_MISMATCH;
  if (!echoes_attempt (exchange, event->headers))
    return class;
  if (outcome != NULL && strcmp (outcome, outcome_name (OUTCOME_NOT_RUN)) == 0)
    {
      class.u.attempt_end.outcome = OUTCOME_NOT_RUN;
      class.u.attempt_end.reason
          = reason != NULL ? reason_parse (reason) : REASON_SERVER_DOWN;
      return class;
    }
  class.kind = RESPONSE_ACCEPTED;
  class.u.headers = headers_copy_end_to_end (event->headers);
  return class;
}

/* Responses to callers */

/* Return the HTTP status code for an outcome other than OUTCOME_DONE.  */
static guint
status_code (enum outcome outcome, enum reason reason)
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

/* Fill in an error response of this node with the outcome in ACTION.  */
void
dialect_own_fill_error (struct exchange *exchange,
                        const struct action_answer *action)
{
  struct response_head *head = &exchange->response;
  char *text = g_strdup_printf ("{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
                                outcome_name (action->outcome),
                                reason_name (action->reason));

  head->http_status = status_code (action->outcome, action->reason);
  head->body_length = (gint64)strlen (text);
  head->stamp = action->stamp;
  soup_message_headers_append (head->headers, "Content-Type",
                               "application/json");
  soup_message_headers_append (head->headers, HEADER_OUTCOME,
                               outcome_name (action->outcome));
  soup_message_headers_append (head->headers, HEADER_REASON,
                               reason_name (action->reason));
  if (action->retry_after_msec > 0)
    headers_set_number (head->headers, "Retry-After",
                        (action->retry_after_msec + 999) / 1000);
  body_append (&exchange->response_body, (const guint8 *)text, strlen (text));
  g_free (text);
}

/* Add the outcome, the stamp and the owner to the headers of a response.  */
void
dialect_own_add_response_headers (const struct exchange *exchange,
                                  SoupMessageHeaders *headers)
{
  const struct response_head *head = &exchange->response;

  if (soup_message_headers_get_one (headers, HEADER_OUTCOME) == NULL)
    soup_message_headers_append (headers, HEADER_OUTCOME,
                                 outcome_name (OUTCOME_DONE));
  if (head->stamp.time_usec != 0)
    {
      char *stamp = headers_format_stamp (head->stamp);
      soup_message_headers_append (headers, HEADER_STAMP, stamp);
      g_free (stamp);
    }
  if (head->owner_address.port != 0 && exchange->has_response)
    {
      char *owner = address_format (head->owner_address);
      soup_message_headers_append (headers, HEADER_OWNER, owner);
      g_free (owner);
    }
}

#include "edge/exchange.h"

#include "decide/rule.h"
#include "edge/headers.h"
#include "edge/node.h"

#include <string.h>

/* Look up a header for a rule.  */
static const char *
find_header (gpointer data, const char *name)
{
  return soup_message_headers_get_one (data, name);
}

/* Fill in what routing needs to know of a request from its HEADERS.  Return
   why it cannot be routed, or REASON_NONE.  */
enum reason
source_caller_read (struct exchange *exchange, SoupMessageHeaders *headers)
{
  struct request *request = &exchange->request;
  const struct config *config = &exchange->node->core.view.config;
  const char *id = soup_message_headers_get_one (headers, HEADER_ID);
  const char *stamp = soup_message_headers_get_one (headers, HEADER_STAMP);
  const char *timeout = soup_message_headers_get_one (headers, HEADER_TIMEOUT);
  const struct config_service *service;
  enum reason reason = rule_match (config, exchange->method, exchange->path,
                                   find_header, headers, request);
  gint64 msec;

  if (reason != REASON_NONE)
    return reason;
  if ((id != NULL && strlen (id) >= sizeof request->id)
      || (stamp != NULL && !headers_parse_stamp (stamp, &request->stamp)))
    return REASON_BAD_REQUEST;
  if (id != NULL)
    g_strlcpy (request->id, id, sizeof request->id);
  service = config_find_service (config, request->service);
  msec = service->timeout_msec;
  if (timeout != NULL && g_ascii_strtoll (timeout, NULL, 10) > 0)
    msec = MIN (msec, g_ascii_strtoll (timeout, NULL, 10));
  request->deadline = g_get_monotonic_time () + msec * USEC_PER_MSEC;
  return REASON_NONE;
}

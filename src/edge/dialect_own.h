#ifndef BAMBOOTALLY_DIALECT_OWN_H
#define BAMBOOTALLY_DIALECT_OWN_H

#include "edge/http.h"
#include "edge/response_class.h"
#include "types/action.h"
#include "types/config.h"

struct exchange;

/* This project's own headers, as docs/CALLERS.md and docs/PLATFORM.md have
   them.  */

struct dialect_own
{
  const struct config *config; /* the rules in force */
  const gint64 *lease_until;   /* end of the node's lease */
};

enum reason dialect_own_parse_request (const struct dialect_own *own,
                                       struct exchange *exchange,
                                       SoupMessageHeaders *headers);
SoupMessageHeaders *
dialect_own_server_headers (const struct dialect_own *own,
                            const struct exchange *exchange,
                            const struct action_run *action);
struct response_class
dialect_own_classify_response (const struct exchange *exchange,
                               const struct http_event *event);
void dialect_own_fill_error (struct exchange *exchange,
                             const struct action_answer *action);
void dialect_own_add_response_headers (const struct exchange *exchange,
                                       SoupMessageHeaders *headers);

#endif

#ifndef BAMBOOTALLY_DIALECT_H
#define BAMBOOTALLY_DIALECT_H

#include "edge/dialect_own.h"
#include "edge/response_class.h"
#include "platform/dialect.h"

/* How requests and responses are written on the connections to callers and
   to the backend server: with this project's own headers, or with the
   platform's.  */

struct exchange;
struct response_head;

enum dialect_kind
{
  DIALECT_OWN,     /* this project's headers, see docs/CALLERS.md */
  DIALECT_PLATFORM /* the platform's headers, see platform/dialect.h */
};

struct dialect
{
  enum dialect_kind kind;
  union
  {
    struct dialect_own own;
    struct dialect_platform platform;
  } u;
};

const char *dialect_caller (const struct dialect *dialect);
enum reason dialect_parse_request (const struct dialect *dialect,
                                   struct exchange *exchange,
                                   SoupMessageHeaders *headers);
SoupMessageHeaders *dialect_server_headers (const struct dialect *dialect,
                                            const struct exchange *exchange,
                                            const struct action_run *action);
struct response_class
dialect_classify_response (const struct dialect *dialect,
                           const struct exchange *exchange,
                           const struct http_event *event);
void dialect_fill_error (const struct dialect *dialect,
                         struct exchange *exchange,
                         const struct action_answer *action);
void dialect_add_response_headers (const struct dialect *dialect,
                                   const struct exchange *exchange,
                                   SoupMessageHeaders *headers);

#endif

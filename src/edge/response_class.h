#ifndef BAMBOOTALLY_RESPONSE_CLASS_H
#define BAMBOOTALLY_RESPONSE_CLASS_H

#include "types/event.h"
#include "types/outcome.h"
#include "types/reason.h"

#include <libsoup/soup.h>

/* Classification of a backend server's response by its head.  */

enum response_class_kind
{
  RESPONSE_ACCEPTED,  /* a response with headers to forward */
  RESPONSE_FAILED,    /* the attempt ends without a response to forward */
  RESPONSE_MISMATCHED /* belongs to another request; skipped */
};

/* End of an attempt without a response to forward.  */
struct attempt_end
{
  enum outcome outcome; /* whether the request was run */
  enum reason reason;   /* why there is no response */
};

struct response_class
{
  enum response_class_kind kind;
  gboolean has_load;             /* the server reported its load */
  struct event_server_load load; /* load reported by the server */
  gboolean has_notice;           /* the response is to this request */
  struct server_notice notice;   /* what the server says of itself in it */
  union
  {
    SoupMessageHeaders *headers;    /* headers to forward; the receiver of this
                                       struct releases them */
    struct attempt_end attempt_end; /* how the attempt ends */
  } u;
};

#endif

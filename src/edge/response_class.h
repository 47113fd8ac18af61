#ifndef BAMBOOTALLY_RESPONSE_CLASS_H
#define BAMBOOTALLY_RESPONSE_CLASS_H

#include "types/event.h"
#include "types/outcome.h"
#include "types/reason.h"

#include <libsoup/soup.h>

/* What the head of a backend server's answer says.  */

enum response_class_kind
{
  RESPONSE_ACCEPTED,  /* it is the answer, with the headers to hand on */
  RESPONSE_FAILED,    /* the attempt ends without an answer */
  RESPONSE_MISMATCHED /* it belongs to another request and is passed over */
};

/* An attempt that ends without an answer.  */
struct attempt_end
{
  enum outcome outcome; /* whether it has run */
  enum reason reason;   /* why there is no answer */
};

struct response_class
{
  enum response_class_kind kind;
  gboolean has_load;             /* the server told its load */
  struct event_server_load load; /* what it told */
  union
  {
    SoupMessageHeaders
        *headers;           /* RESPONSE_ACCEPTED; the caller's to release */
    struct attempt_end end; /* RESPONSE_FAILED */
  } u;
};

#endif

#ifndef BAMBOOTALLY_SERVER_VERDICT_H
#define BAMBOOTALLY_SERVER_VERDICT_H

#include "types/event.h"
#include "types/outcome.h"
#include "types/reason.h"

#include <libsoup/soup.h>

/* What the head of a backend server's answer says.  */

enum server_verdict_kind
{
  SERVER_ANSWERS, /* it is the answer, with the headers to hand on */
  SERVER_ENDS,    /* the attempt ends without an answer */
  SERVER_STRAYS   /* it belongs to another request and is passed over */
};

/* An attempt that ends without an answer.  */
struct server_end
{
  enum outcome outcome; /* whether it has run */
  enum reason reason;   /* why there is no answer */
};

struct server_verdict
{
  enum server_verdict_kind kind;
  gboolean has_load;             /* the server told its load */
  struct event_server_load load; /* what it told */
  union
  {
    SoupMessageHeaders *headers; /* SERVER_ANSWERS; the caller's to release */
    struct server_end end;       /* SERVER_ENDS */
  } u;
};

#endif

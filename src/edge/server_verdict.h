#ifndef BAMBOOTALLY_SERVER_VERDICT_H
#define BAMBOOTALLY_SERVER_VERDICT_H

#include "types/event.h"
#include "types/outcome.h"
#include "types/reason.h"

#include <libsoup/soup.h>

/* Classification of a backend server's response by its head.  */

enum server_verdict_kind
{
  SERVER_ANSWERS, /* a response with headers to forward */
  SERVER_ENDS,    /* the attempt ends without a response to forward */
  SERVER_STRAYS   /* the response belongs to another request and is skipped */
};

/* End of an attempt without a response to forward.  */
struct server_end
{
  enum outcome outcome; /* whether the request was run */
  enum reason reason;   /* why there is no response */
};

struct server_verdict
{
  enum server_verdict_kind kind;
  gboolean has_load;             /* the server reported its load */
  struct event_server_load load; /* load reported by the server */
  union
  {
    SoupMessageHeaders *headers; /* to forward; owned by the caller */
    struct server_end end;       /* how the attempt ends */
  } u;
};

#endif

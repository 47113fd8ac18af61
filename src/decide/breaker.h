#ifndef BAMBOOTALLY_BREAKER_H
#define BAMBOOTALLY_BREAKER_H

#include <glib.h>

/* Circuit breaker for one node.  After several consecutive failures no request
   is sent to the node for a while; then one probe request is sent.  Each
   failed probe lengthens the wait before the next one.  */

enum breaker_state
{
  BREAKER_CLOSED = 0,   /* requests are sent */
  BREAKER_OPEN = 1,     /* no request is sent before blocked_until */
  BREAKER_HALF_OPEN = 2 /* a probe request was sent and has not ended */
};

/* What the end of a request shows about the node.  */
enum breaker_result
{
  BREAKER_SUCCESS, /* the node answered */
  BREAKER_FAILURE  /* the node could not be reached, or the connection broke */
};

struct breaker
{
  enum breaker_state state;     /* whether requests may be sent */
  guint32 consecutive_failures; /* failures since the last success */
  gint64 blocked_until; /* OPEN, HALF_OPEN: no request before then, monotonic
                           usec */
};

gboolean breaker_allows (const struct breaker *breaker, gint64 now);
void breaker_on_sent (struct breaker *breaker, gint64 now);
gboolean breaker_on_result (struct breaker *breaker,
                            enum breaker_result result, gint64 now);

#endif

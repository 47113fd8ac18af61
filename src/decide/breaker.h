#ifndef BAMBOOTALLY_BREAKER_H
#define BAMBOOTALLY_BREAKER_H

#include <glib.h>

/* Keeps requests away from a node that cannot be reached.  After a number of
   failures in a row nothing is sent to it for a while, then a single request
   to find out; each failure of that one makes the next while longer.  */

enum breaker_state
{
  BREAKER_CLOSED = 0,   /* requests pass */
  BREAKER_OPEN = 1,     /* none pass before the deadline */
  BREAKER_HALF_OPEN = 2 /* one has passed, and its end is awaited */
};

/* What an attempt says of the node.  */
enum breaker_result
{
  BREAKER_SUCCESS, /* it answered */
  BREAKER_FAILURE  /* it could not be reached, or the connection broke */
};

struct breaker
{
  enum breaker_state state;     /* whether requests pass */
  guint32 consecutive_failures; /* in a row */
  gint64 blocked_until;         /* open or trying until then, monotonic usec */
};

gboolean breaker_allows (const struct breaker *breaker, gint64 now);
void breaker_on_sent (struct breaker *breaker, gint64 now);
gboolean breaker_on_result (struct breaker *breaker, enum breaker_result sign,
                            gint64 now);

#endif

#ifndef BAMBOOTALLY_KEY_LEASE_H
#define BAMBOOTALLY_KEY_LEASE_H

#include "types/key_order.h"

/* A range of keys that a backend server is granted by calls, as the node
   beside it knows.  */

enum key_lease_state
{
  KEY_LEASE_GRANTING,  /* no grant was answered yet, or the server denied it */
  KEY_LEASE_HELD,      /* a grant was answered */
  KEY_LEASE_RELEASING, /* to be released; requests are not sent any more */
  KEY_LEASE_RELEASED   /* the release was answered */
};

struct key_lease
{
  guint32 first;              /* lowest key of the range */
  guint32 last;               /* highest key of the range */
  guint64 fence;              /* fence in the shard map */
  enum key_lease_state state; /* progress */
  /* passed with grants; once released, the token for the next holder */
  char handover_token[HANDOVER_TOKEN_SIZE];
  gint64 requests_until; /* requests may be sent until then */
  guint64 order_serial;  /* order on its way, 0: none */
  gint64 order_until;    /* end of the grant of that order */
  gint64 next_order_at;  /* no order is sent before */
};

#endif

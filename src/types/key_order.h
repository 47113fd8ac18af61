#ifndef BAMBOOTALLY_KEY_ORDER_H
#define BAMBOOTALLY_KEY_ORDER_H

#include "types/limits.h"

#include <glib.h>

/* A call to the backend server that grants it a range of keys, or takes the
   range back.  */

enum key_order_kind
{
  KEY_ORDER_GRANT,  /* the server may run requests for the keys */
  KEY_ORDER_RELEASE /* the server begins no more requests for the keys, and
                       answers when the running ones have ended */
};

struct key_order
{
  enum key_order_kind kind;
  guint32 first;        /* lowest key of the range */
  guint32 last;         /* highest key of the range */
  guint64 fence;        /* fencing token of the call */
  gint64 granted_until; /* grant: end of the grant, monotonic usec */
  /* grant: token of the previous holder, or empty */
  char handover_token[HANDOVER_TOKEN_SIZE];
  char server[NAME_SIZE]; /* id of the server that is meant */
};

#endif

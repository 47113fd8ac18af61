#ifndef BAMBOOTALLY_KEY_ORDER_RESULT_H
#define BAMBOOTALLY_KEY_ORDER_RESULT_H

#include "types/err.h"
#include "types/key_order.h"

/* The end of a call that grants a backend server keys or takes them back.  */

struct key_order_result
{
  guint64 serial;         /* id of the call */
  struct key_order order; /* the call */
  enum err code;          /* ERR_NONE; ERR_CONFLICT: the server has seen a
                             higher fence; ERR_NOT_FOUND: it is another server;
                             ERR_REFUSED: the call was not sent; ERR_INVALID:
                             it was rejected; ERR_INDETERMINATE: it may have
                             been executed */
  /* release: token for the next holder */
  char handover_token[HANDOVER_TOKEN_SIZE];
};

#endif

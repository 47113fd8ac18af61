#ifndef BAMBOOTALLY_WIRE_TAIL_H
#define BAMBOOTALLY_WIRE_TAIL_H

#include "types/tail_msg.h"
#include "wire/wire.h"

/* Encoding of the calls that read records from another node in XDR.  Items are
   the structs of types/tail_msg.h.  */

bool_t wire_tail_call (XDR *xdr, void *item);
bool_t wire_tail_reply (XDR *xdr, void *item);

#endif

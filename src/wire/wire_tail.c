#include "wire/wire_tail.h"

/* A call: ITEM is a struct tail_call.  */
bool_t
wire_tail_call (XDR *xdr, void *item)
{
  struct tail_call *call = item;

  return wire_u64 (xdr, &call->offset);
}

/* A reply: ITEM is a struct tail_reply.  */
bool_t
wire_tail_reply (XDR *xdr, void *item)
{
  struct tail_reply *reply = item;

  return wire_u64 (xdr, &reply->next_offset)
         && wire_i64 (xdr, &reply->age_usec)
         && wire_bytes (xdr, &reply->bytes, &reply->length, TAIL_BYTES_MAX);
}

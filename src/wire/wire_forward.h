#ifndef BAMBOOTALLY_WIRE_FORWARD_H
#define BAMBOOTALLY_WIRE_FORWARD_H

#include "types/forward_msg.h"
#include "wire/wire.h"

/* Encoding of forwarded requests in XDR.  Items are the structs of
   types/forward_msg.h; RPC_READ_RESPONSE and RPC_CANCEL send the id of the
   forwarded request, a guint64.  */

/* Bytes of header lines of a request or an answer.  */
#define HEADERS_BYTES_MAX 65536u

bool_t wire_forward_request (XDR *xdr, void *item);
bool_t wire_forward_response_head (XDR *xdr, void *item);
bool_t wire_forward_request_chunk (XDR *xdr, void *item);
bool_t wire_forward_response_chunk (XDR *xdr, void *item);
bool_t wire_forward_stream (XDR *xdr, void *item);

#endif

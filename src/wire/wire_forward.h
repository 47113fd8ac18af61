#ifndef BAMBOOTALLY_WIRE_FORWARD_H
#define BAMBOOTALLY_WIRE_FORWARD_H

#include "types/forward_msg.h"
#include "wire/wire.h"

/* Requests on their way between nodes as XDR.  Items are the structs of
   types/forward_msg.h; a read and a cancel name a stream, a guint64.  */

#define HEADERS_BYTES_MAX 65536u /* header lines of a request or answer */

bool_t wire_forward_request (XDR *xdr, void *item);
bool_t wire_forward_response_head (XDR *xdr, void *item);
bool_t wire_forward_request_chunk (XDR *xdr, void *item);
bool_t wire_forward_response_chunk (XDR *xdr, void *item);
bool_t wire_forward_stream (XDR *xdr, void *item);

#endif

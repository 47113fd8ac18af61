#ifndef BAMBOOTALLY_WIRE_PEER_H
#define BAMBOOTALLY_WIRE_PEER_H

#include "types/peer_msg.h"
#include "wire/wire.h"

/* Encoding of the calls between nodes about ownership and the log in XDR.  */

#define FETCH_BYTES_MAX 1048576u /* bytes in one page of a snapshot */

bool_t wire_peer_call (XDR *xdr, void *item);
bool_t wire_peer_reply (XDR *xdr, void *item);

#endif

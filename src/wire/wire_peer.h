#ifndef BAMBOOTALLY_WIRE_PEER_H
#define BAMBOOTALLY_WIRE_PEER_H

#include "types/peer_msg.h"
#include "wire/wire.h"

/* Control calls between nodes as XDR.  */

#define FETCH_BYTES_MAX 1048576u /* bytes in one answer to a fetch */

bool_t wire_peer_call (XDR *xdr, void *item);
bool_t wire_peer_reply (XDR *xdr, void *item);

#endif

#ifndef BAMBOOTALLY_WIRE_MESH_H
#define BAMBOOTALLY_WIRE_MESH_H

#include "types/mesh_msg.h"
#include "wire/wire.h"

/* Encoding of the messages between nodes of a mesh in XDR.  */

bool_t wire_mesh_call (XDR *xdr, void *item);
bool_t wire_mesh_reply (XDR *xdr, void *item);
bool_t wire_load_report (XDR *xdr, struct load_report *load);
bool_t wire_load_warmup (XDR *xdr, struct load_report *load);

#endif

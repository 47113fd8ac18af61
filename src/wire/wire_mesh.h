#ifndef BAMBOOTALLY_WIRE_MESH_H
#define BAMBOOTALLY_WIRE_MESH_H

#include "types/mesh_msg.h"
#include "wire/wire.h"

/* XDR for what the nodes of a mesh say to each other.  */

bool_t wire_mesh_call (XDR *xdr, void *item);
bool_t wire_mesh_reply (XDR *xdr, void *item);
bool_t wire_load_report (XDR *xdr, struct load_report *load);

#endif

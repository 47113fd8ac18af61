#ifndef BAMBOOTALLY_WIRE_VIEW_SERVICE_H
#define BAMBOOTALLY_WIRE_VIEW_SERVICE_H

#include "types/view.h"
#include "wire/wire.h"

/* Encoding of the services of a view in XDR, in two parts: before the nodes
   the names and configurations, which nodes refer to; after the nodes the
   slices and hot keys, which refer to nodes.  */

bool_t wire_services (XDR *xdr, struct view *view);
bool_t wire_service_bodies (XDR *xdr, struct view *view);

#endif

#ifndef BAMBOOTALLY_WIRE_VIEW_SERVICE_H
#define BAMBOOTALLY_WIRE_VIEW_SERVICE_H

#include "types/view.h"
#include "wire/wire.h"

/* The services of a view as XDR: first their names and configuration, which
   nodes refer to, and after the nodes what they hold, which refers to these.
 */

bool_t wire_services (XDR *xdr, struct view *view);
bool_t wire_service_bodies (XDR *xdr, struct view *view);

#endif

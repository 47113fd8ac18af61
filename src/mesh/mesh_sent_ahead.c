#include "mesh/mesh_parts.h"

/* Requests that a caller sends ahead, before the responses to its earlier
   ones.  */

/* Return whether a request for TARGET at HOST, which may be NULL, may run at
   the same time as others of its connection: its route is known, and lets it
   run any number of times, so that its caller can send it again when the
   connection ends before its response.  */
gboolean
mesh_may_run_ahead (const struct mesh *mesh, const char *host,
                    const char *target)
{
  const struct routing *routing = mesh_routing_usable (mesh);
  const struct route *route
      = routing != NULL ? routing_match (routing, host, target) : NULL;

  return route != NULL && route->run_class == RUN_IDEMPOTENT;
}

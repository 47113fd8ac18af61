#ifndef BAMBOOTALLY_ROUTING_H
#define BAMBOOTALLY_ROUTING_H

#include "types/route.h"
#include "types/route_service.h"

/* All routes and services of one configuration version.  */

struct routing
{
  guint64 version;  /* version number; later versions are higher */
  GArray *routes;   /* struct route, longest prefix first */
  GArray *services; /* struct route_service */
};

struct routing *routing_new (guint64 version);
struct routing *routing_copy (const struct routing *routing);
void routing_free (struct routing *routing);
void routing_add_route (struct routing *routing, const struct route *route);
struct route *routing_match (const struct routing *routing, const char *host,
                             const char *target);
const struct route *routing_find_route (const struct routing *routing,
                                        guint32 number);
const struct route_service *
routing_find_service (const struct routing *routing, const char *name);
const char *route_next_service (struct route *route);

#endif

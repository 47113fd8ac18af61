#ifndef BAMBOOTALLY_ROUTING_H
#define BAMBOOTALLY_ROUTING_H

#include "types/route.h"
#include "types/route_service.h"

/* All routes and services of one configuration version.  */

#define ROUTING_FAULT_SIZE 64u /* bytes in the place of a fault */

struct routing
{
  guint64 version;     /* version number; later versions are higher */
  GArray *routes;      /* struct route */
  GArray *services;    /* struct route_service */
  guint32 fault_count; /* rows and fields of the version that could not be
                          used */
  char first_fault[ROUTING_FAULT_SIZE]; /* place of the first of them */
};

struct routing *routing_new (guint64 version);
struct routing *routing_copy (const struct routing *routing);
void routing_free (struct routing *routing);
void routing_add_fault (struct routing *routing, const char *table, guint row,
                        const char *column);
void routing_add_route (struct routing *routing, const struct route *route);
struct route *routing_match (const struct routing *routing, const char *host,
                             const char *target);
const struct route *routing_find_route (const struct routing *routing,
                                        guint32 number);
const struct route_service *
routing_find_service (const struct routing *routing, const char *name);

#endif

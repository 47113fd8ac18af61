#include "types/routing.h"

#include <string.h>
#include <xxhash.h>

/* Create an empty array of routes that owns what its routes hold.  */
static GArray *
new_routes (void)
{
  GArray *routes = g_array_new (FALSE, TRUE, sizeof (struct route));

  g_array_set_clear_func (routes, (GDestroyNotify)route_clear);
  return routes;
}

/* Create an empty configuration of VERSION.  Free it with routing_free.  */
struct routing *
routing_new (guint64 version)
{
  struct routing *routing = g_new0 (struct routing, 1);

  routing->version = version;
  routing->routes = new_routes ();
  routing->services = g_array_new (FALSE, TRUE, sizeof (struct route_service));
  return routing;
}

/* Return a copy of ROUTING, or NULL if ROUTING is NULL.  Free it with
   routing_free.  */
struct routing *
routing_copy (const struct routing *routing)
{
  struct routing *copy;
  guint i;

  if (routing == NULL)
    return NULL;
  copy = g_new0 (struct routing, 1);
  *copy = *routing;
  copy->routes = new_routes ();
  g_array_set_size (copy->routes, routing->routes->len);
  for (i = 0; i < routing->routes->len; i++)
    route_copy (&g_array_index (copy->routes, struct route, i),
                &g_array_index (routing->routes, struct route, i));
  copy->services = g_array_copy (routing->services);
  return copy;
}

/* Free ROUTING, which may be NULL.  */
void
routing_free (struct routing *routing)
{
  if (routing == NULL)
    return;
  g_array_free (routing->routes, TRUE);
  g_array_free (routing->services, TRUE);
  g_free (routing);
}

/* Count a fault in ROW of TABLE, the first row being 0, and keep the place of
   the first fault.  COLUMN is an empty text if the whole row is at fault.  */
void
routing_add_fault (struct routing *routing, const char *table, guint row,
                   const char *column)
{
  if (routing->fault_count++ == 0)
    g_snprintf (routing->first_fault, sizeof routing->first_fault,
                "%s[%u]%s%s", table, row, column[0] != '\0' ? "." : "",
                column);
}

/* Hash HOST and PREFIX to the number of their route.  */
static guint32
hash_route (const char *host, const char *prefix)
{
  guint64 digest = XXH3_64bits (host, strlen (host));

  return (guint32)XXH3_64bits_withSeed (prefix, strlen (prefix), digest);
}

/* Add a copy of ROUTE to ROUTING.  */
void
routing_add_route (struct routing *routing, const struct route *route)
{
  struct route copy;

  route_copy (&copy, route);
  copy.number = hash_route (route->host, route->path_prefix);
  copy.prefix_length = strlen (route->path_prefix);
  g_array_append_val (routing->routes, copy);
}

/* Return the route of HOST with the longest prefix of TARGET, the first one
   that was added if there are several, or NULL.  */
struct route *
routing_match (const struct routing *routing, const char *host,
               const char *target)
{
  struct route *best = NULL;
  guint i;

  for (i = 0; host != NULL && i < routing->routes->len; i++)
    {
      struct route *route = &g_array_index (routing->routes, struct route, i);
      if ((best == NULL || route->prefix_length > best->prefix_length)
          && strncmp (target, route->path_prefix, route->prefix_length) == 0
          && g_ascii_strcasecmp (host, route->host) == 0)
        best = route;
    }
  return best;
}

/* Return the route with NUMBER, or NULL.  */
const struct route *
routing_find_route (const struct routing *routing, guint32 number)
{
  guint i;

  for (i = 0; i < routing->routes->len; i++)
    {
      const struct route *route
          = &g_array_index (routing->routes, struct route, i);
      if (route->number == number)
        return route;
    }
  return NULL;
}

/* Return the service called NAME, or NULL.  */
const struct route_service *
routing_find_service (const struct routing *routing, const char *name)
{
  guint i;

  for (i = 0; i < routing->services->len; i++)
    {
      const struct route_service *service
          = &g_array_index (routing->services, struct route_service, i);
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

#include "types/routing.h"

#include <string.h>
#include <xxhash.h>

/* Create an empty configuration of VERSION.  Free it with routing_free.  */
struct routing *
routing_new (guint64 version)
{
  struct routing *routing = g_new0 (struct routing, 1);

  routing->version = version;
  routing->routes = g_array_new (FALSE, TRUE, sizeof (struct route));
  routing->services = g_array_new (FALSE, TRUE, sizeof (struct route_service));
  return routing;
}

/* Return a copy of ROUTING, or NULL if ROUTING is NULL.  Free it with
   routing_free.  */
struct routing *
routing_copy (const struct routing *routing)
{
  struct routing *copy;

  if (routing == NULL)
    return NULL;
  copy = g_new0 (struct routing, 1);
  copy->version = routing->version;
  copy->routes = g_array_copy (routing->routes);
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

/* Hash HOST and PREFIX to the number of their route.  */
static guint32
hash_route (const char *host, const char *prefix)
{
  guint64 digest = XXH3_64bits (host, strlen (host));

  return (guint32)XXH3_64bits_withSeed (prefix, strlen (prefix), digest);
}

/* Add a copy of ROUTE to ROUTING, keeping longer prefixes first.  */
void
routing_add_route (struct routing *routing, const struct route *route)
{
  gsize length = strlen (route->path_prefix);
  guint index = 0;

  while (
      index < routing->routes->len
      && strlen (
             g_array_index (routing->routes, struct route, index).path_prefix)
             >= length)
    index++;
  g_array_insert_vals (routing->routes, index, route, 1);
  g_array_index (routing->routes, struct route, index).number
      = hash_route (route->host, route->path_prefix);
}

/* Return the route of HOST with the longest prefix of TARGET, or NULL.  */
struct route *
routing_match (const struct routing *routing, const char *host,
               const char *target)
{
  guint i;

  for (i = 0; host != NULL && i < routing->routes->len; i++)
    {
      struct route *route = &g_array_index (routing->routes, struct route, i);
      if (g_str_has_prefix (target, route->path_prefix)
          && g_ascii_strcasecmp (host, route->host) == 0)
        return route;
    }
  return NULL;
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

/* Choose the service for the next request of ROUTE by smooth weighted round
   robin: each share gains its weight, and the share with the highest sum is
   chosen and gives back the total.  */
const char *
route_next_service (struct route *route)
{
  struct route_share *best = &route->shares[0];
  gint64 total = 0;
  guint i;

  for (i = 0; i < route->share_count; i++)
    {
      struct route_share *share = &route->shares[i];
      share->current_weight += share->weight;
      total += share->weight;
      if (share->current_weight > best->current_weight)
        best = share;
    }
  best->current_weight -= total;
  return best->service;
}

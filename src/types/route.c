#include "types/route.h"

#include <string.h>

/* Make TO a copy of FROM that owns its texts and shares.  Clear it with
   route_clear.  */
void
route_copy (struct route *to, const struct route *from)
{
  guint i;

  *to = *from;
  to->name = g_strdup (from->name != NULL ? from->name : "");
  to->host = g_strdup (from->host);
  to->path_prefix = g_strdup (from->path_prefix);
  to->shares = g_new (struct route_share, from->share_count);
  for (i = 0; i < from->share_count; i++)
    {
      to->shares[i] = from->shares[i];
      to->shares[i].service = g_strdup (from->shares[i].service);
    }
}

/* Free what ROUTE, a copy by route_copy, owns.  */
void
route_clear (struct route *route)
{
  guint i;

  for (i = 0; i < route->share_count; i++)
    g_free ((char *)route->shares[i].service);
  g_free (route->shares);
  g_free ((char *)route->name);
  g_free ((char *)route->host);
  g_free ((char *)route->path_prefix);
  memset (route, 0, sizeof *route);
}

/* Choose the service for the next request of ROUTE, which has a share with a
   weight, by smooth weighted round robin: each share gains its weight, and the
   share with the highest sum is chosen and gives back the total.  */
const char *
route_next_service (struct route *route)
{
  struct route_share *best = NULL;
  double total = 0;
  guint i;

  for (i = 0; i < route->share_count; i++)
    {
      struct route_share *share = &route->shares[i];
      if (share->weight <= 0)
        continue;
      share->current_weight += share->weight;
      total += share->weight;
      if (best == NULL || share->current_weight > best->current_weight)
        best = share;
    }
  if (best == NULL)
    return "";
  best->current_weight -= total;
  return best->service;
}

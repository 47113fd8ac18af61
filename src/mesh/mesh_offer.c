#include "mesh/mesh_parts.h"

/* An offer whose range was not given up by then is withdrawn: two beats and
   the longest grant have gone by.  */
#define OFFER_USEC ((gint64)4000000)

/* Offer the keys FIRST to LAST to the node NEXT.  */
void
mesh_offer_add (struct mesh *mesh, guint32 first, guint32 last,
                const char *next, gint64 now)
{
  struct mesh_offer offer
      = { .first = first, .last = last, .until = now + OFFER_USEC };

  g_strlcpy (offer.next, next, sizeof offer.next);
  g_array_append_val (mesh->offers, offer);
}

/* Tell whether KEY is offered to another node.  */
gboolean
mesh_is_offered (const struct mesh *mesh, guint32 key)
{
  guint i;

  for (i = 0; i < mesh->offers->len; i++)
    {
      const struct mesh_offer *offer
          = &g_array_index (mesh->offers, struct mesh_offer, i);
      if (offer->first <= key && key <= offer->last)
        return TRUE;
    }
  return FALSE;
}

/* Mark in MAP what OFFER gives away, where it is not marked already.  Return
   whether there is anything.  */
static gboolean
mark (const struct mesh *mesh, struct shard_map *map,
      const struct mesh_offer *offer)
{
  gboolean any = FALSE;
  guint i;

  shard_map_split (map, offer->first);
  if (offer->last + 1 < SHARD_KEYS)
    shard_map_split (map, offer->last + 1);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->first < offer->first || shard->last > offer->last
          || shard->state != SHARD_HELD
          || strcmp (shard->owner, mesh->settings.name) != 0)
        continue;
      if (shard->next[0] == '\0')
        g_strlcpy (shard->next, offer->next, sizeof shard->next);
      any = any || strcmp (shard->next, offer->next) == 0;
    }
  return any;
}

/* Mark in MAP, a copy, what is offered to those of HOLDERS that may still take
   it, and drop the other offers.  */
void
mesh_offers_apply (struct mesh *mesh, struct shard_map *map,
                   const GArray *holders, gint64 now)
{
  guint i = 0;

  while (i < mesh->offers->len)
    {
      const struct mesh_offer *offer
          = &g_array_index (mesh->offers, struct mesh_offer, i);
      if (now < offer->until && shard_holder (holders, offer->next) != NULL
          && mark (mesh, map, offer))
        i++;
      else
        g_array_remove_index (mesh->offers, i);
    }
}

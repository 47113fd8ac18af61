#include "mesh/mesh_parts.h"

/* An offer whose range was not given up by then is withdrawn: two beats and
   the longest grant have gone by.  */
#define OFFER_USEC ((gint64)4000000)

/* Offer the keys FIRST to LAST to the node NEXT.  */
void
mesh_handoff_add (struct mesh *mesh, guint32 first, guint32 last,
                  const char *next, gint64 now)
{
  struct mesh_handoff offer = { .first_key = first,
                                .last_key = last,
                                .expires_at = now + OFFER_USEC };

  g_strlcpy (offer.new_owner, next, sizeof offer.new_owner);
  g_array_append_val (mesh->handoffs, offer);
}

/* Tell whether KEY is offered to another node.  */
gboolean
mesh_is_handed_off (const struct mesh *mesh, guint32 key)
{
  guint i;

  for (i = 0; i < mesh->handoffs->len; i++)
    {
      const struct mesh_handoff *offer
          = &g_array_index (mesh->handoffs, struct mesh_handoff, i);
      if (offer->first_key <= key && key <= offer->last_key)
        return TRUE;
    }
  return FALSE;
}

/* Mark in MAP what OFFER gives away, where it is not marked already.  Return
   whether there is anything.  */
static gboolean
mark (const struct mesh *mesh, struct shard_map *map,
      const struct mesh_handoff *offer)
{
  gboolean any = FALSE;
  guint i;

  shard_map_split (map, offer->first_key);
  if (offer->last_key + 1 < SHARD_KEY_COUNT)
    shard_map_split (map, offer->last_key + 1);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->first < offer->first_key || shard->last > offer->last_key
          || shard->state != SHARD_HELD
          || strcmp (shard->owner, mesh->settings.name) != 0)
        continue;
      if (shard->next_owner[0] == '\0')
        g_strlcpy (shard->next_owner, offer->new_owner,
                   sizeof shard->next_owner);
      any = any || strcmp (shard->next_owner, offer->new_owner) == 0;
    }
  return any;
}

/* Mark in MAP, a copy, what is offered to those of HOLDERS that may still take
   it, and drop the other offers.  */
void
mesh_handoffs_apply (struct mesh *mesh, struct shard_map *map,
                     const GArray *holders, gint64 now)
{
  guint i = 0;

  while (i < mesh->handoffs->len)
    {
      const struct mesh_handoff *offer
          = &g_array_index (mesh->handoffs, struct mesh_handoff, i);
      if (now < offer->expires_at
          && shard_find_candidate (holders, offer->new_owner) != NULL
          && mark (mesh, map, offer))
        i++;
      else
        g_array_remove_index (mesh->handoffs, i);
    }
}

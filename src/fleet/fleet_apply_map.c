#include "fleet/fleet_state.h"

#include "fleet/map_merge.h"
#include "types/store_offset.h"

/* Application of a shard map's record.  */

/* Copy from PREVIOUS, for each shard of MAP, when it entered its state and
   which record brought it; for a shard whose state is new that is NOW, for one
   that differs the record of MAP.  A shard that was lost, recovered and lost
   again has another loss id.  */
static void
copy_shard_times (struct shard_map *map, const struct shard_map *previous,
                  gint64 now)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct shard *old
          = previous != NULL ? shard_map_find (previous, shard->first) : NULL;
      gboolean same = old != NULL && old->state == shard->state
                      && old->fence == shard->fence
                      && old->loss_id == shard->loss_id
                      && old->last >= shard->last;
      shard->state_seen_at = same ? old->state_seen_at : now;
      shard->changed_at = old != NULL && shard_equal (old, shard)
                              ? old->changed_at
                              : map->store_offset;
    }
}

/* Return whether KNOWN may have states of keys that a record at OFFSET lacks.
   In the first era of the store each map is made from the one before.  */
static gboolean
may_be_ahead (const struct shard_map *known, guint64 offset)
{
  return known != NULL && (known->is_ahead || store_offset_era (offset) > 0);
}

/* Return whether MAP, which was merged from KNOWN and a record, is not just
   the next one after KNOWN.  */
static gboolean
is_joined (const struct shard_map *map, const struct shard_map *known)
{
  return known != NULL
         && (map->is_ahead || known->is_ahead
             || store_offset_era (known->store_offset)
                    != store_offset_era (map->store_offset));
}

/* Note that all shards of MAP came with its record, at NOW: nodes that know
   the record before it may have merged it with other states than this node.
   The owner of a shard that this node knew to be lost may learn of the loss
   only from this record, and grants the keys until then.  */
static void
mark_all_changed (struct shard_map *map, gint64 now)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      shard->changed_at = map->store_offset;
      if (shard->state == SHARD_LOST)
        shard->state_seen_at = now;
    }
}

/* Keep RECORD, which is at OFFSET, as the store's record of MAP if MAP is
   ahead of it: other nodes are sent what the store has.  */
void
fleet_state_keep_stored (struct fleet_state *fleet,
                         const struct shard_map *map,
                         const struct shard_map *record, guint64 offset)
{
  struct shard_map *stored = fleet_state_stored_map (fleet, map->service);

  if (stored != NULL)
    g_ptr_array_remove (fleet->stored_maps, stored);
  if (!map->is_ahead)
    return;
  stored = g_new0 (struct shard_map, 1);
  shard_map_copy (stored, record);
  stored->store_offset = offset;
  g_ptr_array_add (fleet->stored_maps, stored);
}

/* Apply the shard map of a service.  A record of another era of the store does
   not take back what is known.  */
void
fleet_state_apply_map (struct fleet_state *fleet,
                       const struct shard_map *record, guint64 offset,
                       gint64 now)
{
  struct shard_map *known = fleet_state_map (fleet, record->service);
  struct shard_map *map = g_new0 (struct shard_map, 1);

  if (may_be_ahead (known, offset))
    map_merge (known, record, map);
  else
    {
      shard_map_copy (map, record);
      map->is_ahead = FALSE;
    }
  map->store_offset = offset;
  copy_shard_times (map, known, now);
  if (is_joined (map, known))
    mark_all_changed (map, now);
  fleet_state_keep_stored (fleet, map, record, offset);
  if (known != NULL)
    g_ptr_array_remove (fleet->shard_maps, known);
  g_ptr_array_add (fleet->shard_maps, map);
}

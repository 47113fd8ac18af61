#include "mesh/mesh_parts.h"

#include "types/store_offset.h"

/* What a node does when the store came back from an older copy, in a new era:
   docs/design/store-era.md.  */

/* Nobody takes keys over for this long after a new era is known.  Sessions and
   grants by the copies of the era before are over then, also at nodes that are
   cut off.  */
#define SETTLE_ERA_USEC SESSION_WAIT_USEC

/* A node that does not plan for all proposes what it knows beyond the store
   this long after it learned of the era.  */
#define PROPOSE_DELAY_USEC ((gint64)500000)

/* Return the era of the records in EVENT.  */
static guint64
era_of (const struct event_fleet_records *event)
{
  guint64 era = store_offset_era (event->next_offset);
  guint32 i;

  for (i = 0; i < event->count; i++)
    era = MAX (era, store_offset_era (event->items[i].offset));
  return era;
}

/* Take the keys that this node gave up in maps whose append has no known
   outcome as free: another node may hold them by such a map.  */
static void
free_unconfirmed (struct mesh *mesh)
{
  struct shard_map *known
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  struct shard_map without;

  if (known == NULL || mesh->unconfirmed->len == 0)
    return;
  without = mesh_unconfirmed_exclude (mesh, known);
  without.is_ahead = TRUE;
  if (fleet_state_stored_map (&mesh->fleet, known->service) == NULL)
    fleet_state_keep_stored (&mesh->fleet, &without, known,
                             known->store_offset);
  shard_map_clear (known);
  *known = without;
  g_array_set_size (mesh->unconfirmed, 0);
}

/* Keep the map by which the server was granted its keys so far; keys that
   waited for an earlier era to settle were not granted.  */
static void
keep_map (struct mesh *mesh, gint64 now)
{
  const struct shard_map *known
      = fleet_state_map (&mesh->fleet, mesh->settings.service);
  struct shard_map kept = { .shards = NULL };

  if (known != NULL)
    {
      shard_map_copy (&kept, known);
      mesh_era_exclude (mesh, &kept, now);
    }
  shard_map_clear (&mesh->era_map);
  mesh->era_map = kept;
}

/* Process the era of the records in EVENT before they are applied.  What the
   server holds goes on being granted if the session is live, since nobody can
   have taken it over; else only what is assigned to it in this era.  */
void
mesh_era_check (struct mesh *mesh, const struct event_fleet_records *event,
                gint64 now, struct actions *out)
{
  guint64 era = era_of (event);
  gboolean is_first = !mesh->initial_read_done;
  gboolean keeps_grants = !is_first && mesh_session_usec (mesh, now) > 0;

  if (era <= mesh->era)
    return;
  mesh_log (out, LOG_EVENT_MESH_ERA, mesh->settings.name,
            "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
            " end=%" G_GUINT64_FORMAT " applied=%" G_GUINT64_FORMAT
            " keeps_grants=%d",
            era, mesh->era, store_offset_raw (event->next_offset),
            store_offset_raw (mesh->fleet.applied_offset), keeps_grants);
  if (!is_first)
    {
      free_unconfirmed (mesh);
      keep_map (mesh, now);
    }
  mesh->era = era;
  mesh->era_known_at = now;
  if (!keeps_grants)
    mesh->min_fence = store_era_first_fence (era);
  if (!is_first)
    mesh->era_settles_at = now + SETTLE_ERA_USEC;
}

/* Let a process that has read the fleet's topic for the first time settle: the
   era may have begun just before, and other nodes may know later maps.  A
   store in its first era has lost nothing.  */
void
mesh_era_on_first_read (struct mesh *mesh, gint64 now)
{
  if (mesh->era > 0)
    mesh->era_settles_at = now + SETTLE_ERA_USEC;
}

/* Return whether keys may be given to other owners.  */
gboolean
mesh_era_is_settled (const struct mesh *mesh, gint64 now)
{
  return now >= mesh->era_settles_at;
}

/* Return whether MAP has to be written again in this era.  */
static gboolean
is_unwritten (const struct mesh *mesh, const struct shard_map *map)
{
  return map->is_ahead || map->next_fence < store_era_first_fence (mesh->era)
         || store_offset_era (map->store_offset) < mesh->era;
}

/* Set COPY to a copy of MAP whose next fence is of this era.  */
void
mesh_era_copy_map (const struct mesh *mesh, struct shard_map *copy,
                   const struct shard_map *map)
{
  shard_map_copy (copy, map);
  copy->next_fence = MAX (copy->next_fence, store_era_first_fence (mesh->era));
}

/* Propose a map that has to be written again in this era.  The node that
   IS_PLANNER for all does so at once, the others a little later.  Return
   whether there was one.  */
gboolean
mesh_era_propose (struct mesh *mesh, gboolean is_planner, gint64 now,
                  struct actions *out)
{
  guint i;

  if (store_offset_era (mesh->fleet.applied_offset) < mesh->era
      || (!is_planner && now < mesh->era_known_at + PROPOSE_DELAY_USEC))
    return FALSE;
  for (i = 0; i < mesh->fleet.shard_maps->len; i++)
    {
      const struct shard_map *map
          = g_ptr_array_index (mesh->fleet.shard_maps, i);
      struct fleet_record record = { .kind = FLEET_MAP };
      if (!is_unwritten (mesh, map))
        continue;
      mesh_era_copy_map (mesh, &record.u.map, map);
      mesh_propose (mesh, &record, mesh->fleet.applied_offset, now, out);
      return TRUE;
    }
  return FALSE;
}

/* Return whether this node owns SHARD.  */
static gboolean
is_own (const struct mesh *mesh, const struct shard *shard)
{
  return shard->state == SHARD_HELD
         && strcmp (shard->owner, mesh->settings.name) == 0;
}

/* Return whether this node owned SHARD under the same fence before the
   era.  */
static gboolean
was_own (const struct mesh *mesh, const struct shard *shard)
{
  const struct shard *before;

  if (mesh->era_map.shards == NULL)
    return FALSE;
  before = shard_map_find (&mesh->era_map, shard->first);
  return is_own (mesh, before) && before->fence == shard->fence;
}

/* Return whether SHARD, which this node owns, may be granted.  A fence of an
   older era may have been passed by one that is lost, unless this node held
   the keys under it.  An append of the last era that failed may have been
   carried out in this one, while the owner that wrote it still grants the
   keys; so what is gained waits until the era has settled.  */
static gboolean
is_grantable (const struct mesh *mesh, const struct shard *shard, gint64 now)
{
  if (shard->fence < mesh->min_fence)
    return FALSE;
  if (was_own (mesh, shard))
    return TRUE;
  return shard->fence >= store_era_first_fence (mesh->era)
         && (mesh_era_is_settled (mesh, now) || mesh->era_map.shards == NULL);
}

/* Split the shards of MAP where those of the map before the era begin.  */
static void
split_as_before (const struct mesh *mesh, struct shard_map *map)
{
  guint i;

  for (i = 0; mesh->era_map.shards != NULL && i < mesh->era_map.shards->len;
       i++)
    shard_map_split (map, shard_map_at (&mesh->era_map, i)->first);
}

/* Assign the shards of MAP, a copy, that this node owns and may not grant to
   it under a fence of this era, or mark them as free if it is not among the
   CANDIDATES.  Return whether there were any.  */
gboolean
mesh_era_renew (const struct mesh *mesh, struct shard_map *map,
                const GArray *candidates, gint64 now)
{
  const struct candidate *self
      = shard_find_candidate (candidates, mesh->settings.name);
  gboolean changed = FALSE;
  guint i;

  if (mesh->era == 0 || !mesh->grant.heartbeat_received)
    return FALSE;
  split_as_before (mesh, map);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (!is_own (mesh, shard) || shard->fence < mesh->min_fence
          || is_grantable (mesh, shard, now))
        continue;
      if (self != NULL)
        shard_assign (map, shard, self, "");
      else
        shard->state = SHARD_FREE;
      changed = TRUE;
    }
  return changed;
}

/* Mark as free the shards of MAP, a copy, that this node owns and may not
   grant.  */
void
mesh_era_exclude (const struct mesh *mesh, struct shard_map *map, gint64 now)
{
  guint i;

  if (mesh->era == 0)
    return;
  split_as_before (mesh, map);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (is_own (mesh, shard) && !is_grantable (mesh, shard, now))
        shard->state = SHARD_FREE;
    }
}

#include "fleet/fleet_state.h"

#include "fleet/map_merge.h"
#include "fleet/map_patch.h"
#include "types/store_offset.h"

/* Setup */

/* Free a map; for GPtrArray.  */
static void
free_map (gpointer data)
{
  shard_map_clear (data);
  g_free (data);
}

/* Initialize FLEET as empty.  */
void
fleet_state_init (struct fleet_state *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  table_init (&fleet->members, sizeof (struct fleet_member));
  fleet->handles_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->shard_maps = g_ptr_array_new_with_free_func (free_map);
  fleet->suspects = g_array_new (FALSE, TRUE, sizeof (struct fleet_suspect));
  fleet->offset_by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Free the memory of FLEET.  */
void
fleet_state_clear (struct fleet_state *fleet)
{
  table_clear (&fleet->members);
  g_hash_table_destroy (fleet->handles_by_name);
  g_ptr_array_free (fleet->shard_maps, TRUE);
  g_array_free (fleet->suspects, TRUE);
  g_hash_table_destroy (fleet->offset_by_key);
}

/* Look up */

/* Return the handle of the member called NAME, or HANDLE_NONE.  */
struct handle
fleet_state_find (const struct fleet_state *fleet, const char *name)
{
  struct handle h = { GPOINTER_TO_UINT (
      g_hash_table_lookup (fleet->handles_by_name, name)) };

  return h;
}

/* Return the member under H, or NULL.  */
const struct fleet_member *
fleet_state_member_at (const struct fleet_state *fleet, struct handle h)
{
  return table_get (&fleet->members, h);
}

/* Return the member called NAME, or NULL.  */
const struct fleet_member *
fleet_state_member_named (const struct fleet_state *fleet, const char *name)
{
  return fleet_state_member_at (fleet, fleet_state_find (fleet, name));
}

/* Return the shard map of SERVICE, or NULL if none is known.  */
struct shard_map *
fleet_state_map (const struct fleet_state *fleet, const char *service)
{
  guint i;

  for (i = 0; i < fleet->shard_maps->len; i++)
    {
      struct shard_map *map = g_ptr_array_index (fleet->shard_maps, i);
      if (strcmp (map->service, service) == 0)
        return map;
    }
  return NULL;
}

/* Return how many servers have crashed while they ran requests with
   DIGEST.  */
guint32
fleet_state_crashes (const struct fleet_state *fleet, guint64 digest)
{
  guint i;

  for (i = 0; i < fleet->suspects->len; i++)
    {
      const struct fleet_suspect *suspect
          = &g_array_index (fleet->suspects, struct fleet_suspect, i);
      if (suspect->digest == digest)
        return suspect->crash_count;
    }
  return 0;
}

/* Apply records */

/* Apply the record of a member.  */
static void
apply_member (struct fleet_state *fleet, const struct fleet_member *member,
              guint64 offset)
{
  struct handle h = fleet_state_find (fleet, member->name);
  struct fleet_member *known = table_get (&fleet->members, h);

  if (known == NULL)
    {
      h = table_add (&fleet->members);
      fleet->member_change_count++;
      known = table_get (&fleet->members, h);
      g_hash_table_insert (fleet->handles_by_name, g_strdup (member->name),
                           GUINT_TO_POINTER (h.bits));
    }
  *known = *member;
  known->store_offset = offset;
}

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

/* Note that all shards of MAP came with its record: nodes that know the record
   before it may have merged it with other states than this node.  */
static void
mark_all_changed (struct shard_map *map)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    shard_map_at (map, i)->changed_at = map->store_offset;
}

/* Apply the shard map of a service.  A record of another era of the store does
   not take back what is known.  */
static void
apply_map (struct fleet_state *fleet, const struct shard_map *record,
           guint64 offset, gint64 now)
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
    mark_all_changed (map);
  if (known != NULL)
    g_ptr_array_remove (fleet->shard_maps, known);
  g_ptr_array_add (fleet->shard_maps, map);
}

/* Apply PATCH, the changed part of a map.  Return FALSE if it does not fit the
   known map: it is made for a node that knows just the record before.  */
static gboolean
apply_patch (struct fleet_state *fleet, const struct shard_map *patch,
             guint64 offset, gint64 now)
{
  const struct shard_map *known = fleet_state_map (fleet, patch->service);
  struct shard_map map;

  if (known == NULL || known->is_ahead
      || store_offset_era (known->store_offset) != store_offset_era (offset)
      || !map_patch_apply (known, patch, &map))
    return FALSE;
  apply_map (fleet, &map, offset, now);
  shard_map_clear (&map);
  return TRUE;
}

/* Apply the record of a request that crashes servers.  A record that was
   appended late does not lower the count.  */
static void
apply_suspect (struct fleet_state *fleet, const struct fleet_suspect *record)
{
  guint i;

  for (i = 0; i < fleet->suspects->len; i++)
    {
      struct fleet_suspect *suspect
          = &g_array_index (fleet->suspects, struct fleet_suspect, i);
      if (suspect->digest == record->digest)
        {
          suspect->crash_count
              = MAX (suspect->crash_count, record->crash_count);
          return;
        }
    }
  g_array_append_val (fleet->suspects, *record);
}

/* Remove the member whose record had KEY.  */
static void
remove_key (struct fleet_state *fleet, const char *key)
{
  struct handle h;

  if (!g_str_has_prefix (key, "member/"))
    return;
  h = fleet_state_find (fleet, key + strlen ("member/"));
  if (!handle_is_set (h))
    return;
  table_remove (&fleet->members, h);
  fleet->member_change_count++;
  g_hash_table_remove (fleet->handles_by_name, key + strlen ("member/"));
}

/* Apply ENTRY at NOW.  Return FALSE if a later record with its key is known,
   or if ENTRY is a patch that does not fit.  */
gboolean
fleet_state_apply (struct fleet_state *fleet, const struct fleet_entry *entry,
                   gint64 now)
{
  const struct fleet_record *record = &entry->record;
  guint64 *offset = g_hash_table_lookup (fleet->offset_by_key, record->key);

  if (offset != NULL && *offset >= entry->offset)
    return FALSE;
  if (record->kind == FLEET_MAP_PATCH
      && !apply_patch (fleet, &record->u.map, entry->offset, now))
    return FALSE;
  g_hash_table_insert (fleet->offset_by_key, g_strdup (record->key),
                       g_memdup2 (&entry->offset, sizeof entry->offset));
  fleet->change_count++;
  switch (record->kind)
    {
    case FLEET_MEMBER:
      apply_member (fleet, &record->u.member, entry->offset);
      break;
    case FLEET_MAP:
      apply_map (fleet, &record->u.map, entry->offset, now);
      break;
    case FLEET_MAP_PATCH:
      break;
    case FLEET_SUSPECT:
      apply_suspect (fleet, &record->u.suspect);
      break;
    case FLEET_TOMBSTONE:
      remove_key (fleet, record->key);
      break;
    }
  return TRUE;
}

/* Record that all records below NEXT are applied.  */
void
fleet_state_advance (struct fleet_state *fleet, guint64 next)
{
  fleet->applied_offset = MAX (fleet->applied_offset, next);
}

#include "fleet/fleet_state.h"

#include "fleet/map_patch.h"

/* Rebuild the record of KEY from the state.  If WITH_PATCHES is set, of a map
   only the shards are taken that have changed at OFFSET or later.  Of a map
   that is ahead of the store the store's record is taken: the receiver would
   take anything else for what the store has at that offset.  */
static void
rebuild_record (const struct fleet_state *fleet, const char *key,
                guint64 offset, gboolean with_patches,
                struct fleet_record *record)
{
  const char *name = strchr (key, '/') + 1;
  const struct fleet_member *member;
  const struct shard_map *map;
  const struct shard_map *stored;

  memset (record, 0, sizeof *record);
  g_strlcpy (record->key, key, sizeof record->key);
  record->kind = FLEET_TOMBSTONE;
  if (g_str_has_prefix (key, FLEET_SUSPECT_PREFIX))
    {
      const struct quarantine_entry *suspect
          = quarantine_find (&fleet->quarantine, fleet_suspect_digest (key));
      if (suspect == NULL)
        return;
      record->kind = FLEET_SUSPECT;
      record->u.suspect = suspect->suspect;
      return;
    }
  member = fleet_state_member_named (fleet, name);
  map = fleet_state_map (fleet, name);
  stored = fleet_state_stored_map (fleet, name);
  if (g_str_has_prefix (key, FLEET_MEMBER_PREFIX) && member != NULL)
    {
      record->kind = FLEET_MEMBER;
      record->u.member = *member;
    }
  else if (g_str_has_prefix (key, FLEET_MAP_PREFIX) && map != NULL)
    {
      record->kind = FLEET_MAP_PATCH;
      if (stored == NULL && with_patches
          && map_patch_make (map, offset, &record->u.map))
        return;
      record->kind = FLEET_MAP;
      shard_map_copy (&record->u.map, stored != NULL ? stored : map);
    }
}

/* Return the newest record of each key that changed at OFFSET or later, as
   struct fleet_entry; if WITH_PATCHES is set, of maps only what has changed.
   The caller clears each record and frees the array.  */
GArray *
fleet_state_since (const struct fleet_state *fleet, guint64 offset,
                   gboolean with_patches)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->offset_by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct fleet_entry entry = { .offset = *(guint64 *)value };
      if (entry.offset < offset)
        continue;
      rebuild_record (fleet, key, offset, with_patches, &entry.record);
      g_array_append_val (entries, entry);
    }
  return entries;
}

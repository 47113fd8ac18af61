#include "fleet/fleet_state.h"

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
  fleet->stored_maps = g_ptr_array_new_with_free_func (free_map);
  quarantine_init (&fleet->quarantine);
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
  g_ptr_array_free (fleet->stored_maps, TRUE);
  quarantine_clear (&fleet->quarantine);
  g_hash_table_destroy (fleet->offset_by_key);
}

/* Look up */

/* Return the handle of the member called NAME, or whose key has NAME, or
   HANDLE_NONE.  */
struct handle
fleet_state_find (const struct fleet_state *fleet, const char *name)
{
  char buffer[FLEET_KEY_SIZE];
  struct handle h = { GPOINTER_TO_UINT (g_hash_table_lookup (
      fleet->handles_by_name, fleet_key_name (name, buffer))) };

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

/* Return the one of MAPS that is of SERVICE, or whose key has SERVICE, or
   NULL.  */
static struct shard_map *
find_map (const GPtrArray *maps, const char *service)
{
  char wanted_buffer[FLEET_KEY_SIZE];
  char buffer[FLEET_KEY_SIZE];
  const char *wanted = fleet_key_name (service, wanted_buffer);
  guint i;

  for (i = 0; i < maps->len; i++)
    {
      struct shard_map *map = g_ptr_array_index (maps, i);
      if (strcmp (fleet_key_name (map->service, buffer), wanted) == 0)
        return map;
    }
  return NULL;
}

/* Return the shard map of SERVICE, or NULL if none is known.  */
struct shard_map *
fleet_state_map (const struct fleet_state *fleet, const char *service)
{
  return find_map (fleet->shard_maps, service);
}

/* Return the store's record of the shard map of SERVICE if the known map is
   ahead of it, or NULL.  */
struct shard_map *
fleet_state_stored_map (const struct fleet_state *fleet, const char *service)
{
  return find_map (fleet->stored_maps, service);
}

/* Return the offset of the newest record of KEY that was applied, 0 if there
   is none.  */
guint64
fleet_state_offset (const struct fleet_state *fleet, const char *key)
{
  const guint64 *offset = g_hash_table_lookup (fleet->offset_by_key, key);

  return offset != NULL ? *offset : 0;
}

/* Apply records */

/* Apply the record of a member.  */
static void
apply_member (struct fleet_state *fleet, const struct fleet_member *member,
              guint64 offset)
{
  char buffer[FLEET_KEY_SIZE];
  struct handle h = fleet_state_find (fleet, member->name);
  struct fleet_member *known = table_get (&fleet->members, h);

  if (known == NULL)
    {
      h = table_add (&fleet->members);
      fleet->member_change_count++;
      known = table_get (&fleet->members, h);
      g_hash_table_insert (fleet->handles_by_name,
                           g_strdup (fleet_key_name (member->name, buffer)),
                           GUINT_TO_POINTER (h.bits));
    }
  *known = *member;
  known->store_offset = offset;
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
  fleet_state_apply_map (fleet, &map, offset, now);
  shard_map_clear (&map);
  return TRUE;
}

/* Remove the member or the suspect whose record had KEY.  */
static void
remove_key (struct fleet_state *fleet, const char *key)
{
  const char *name = key + strlen (FLEET_MEMBER_PREFIX);
  struct handle h;

  if (g_str_has_prefix (key, FLEET_SUSPECT_PREFIX))
    quarantine_remove (&fleet->quarantine, fleet_suspect_digest (key));
  if (!g_str_has_prefix (key, FLEET_MEMBER_PREFIX))
    return;
  h = fleet_state_find (fleet, name);
  if (!handle_is_set (h))
    return;
  table_remove (&fleet->members, h);
  fleet->member_change_count++;
  g_hash_table_remove (fleet->handles_by_name, name);
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
      fleet_state_apply_map (fleet, &record->u.map, entry->offset, now);
      break;
    case FLEET_MAP_PATCH:
      break;
    case FLEET_SUSPECT:
      quarantine_apply (&fleet->quarantine, &record->u.suspect, now);
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

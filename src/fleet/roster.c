#include "fleet/roster.h"

/* Setup */

/* Frees a map; for GPtrArray.  */
static void
free_map (gpointer data)
{
  shard_map_clear (data);
  g_free (data);
}

/* Initializes FLEET_STATE as empty.  */
void
roster_init (struct roster *roster)
{
  memset (roster, 0, sizeof *roster);
  table_init (&roster->members, sizeof (struct fleet_member));
  roster->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  roster->maps = g_ptr_array_new_with_free_func (free_map);
  roster->suspects = g_array_new (FALSE, TRUE, sizeof (struct fleet_suspect));
  roster->key_offset
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the memory of FLEET_STATE.  */
void
roster_clear (struct roster *roster)
{
  table_clear (&roster->members);
  g_hash_table_destroy (roster->by_name);
  g_ptr_array_free (roster->maps, TRUE);
  g_array_free (roster->suspects, TRUE);
  g_hash_table_destroy (roster->key_offset);
}

/* Look up */

/* Returns the handle of the member called NAME, or HANDLE_NONE.  */
struct handle
roster_find (const struct roster *roster, const char *name)
{
  struct handle h
      = { GPOINTER_TO_UINT (g_hash_table_lookup (roster->by_name, name)) };

  return h;
}

/* Returns the member under H, or NULL.  */
const struct fleet_member *
roster_member_at (const struct roster *roster, struct handle h)
{
  return table_get (&roster->members, h);
}

/* Returns the member called NAME, or NULL.  */
const struct fleet_member *
roster_member_named (const struct roster *roster, const char *name)
{
  return roster_member_at (roster, roster_find (roster, name));
}

/* Returns the shard map of SERVICE, or NULL if none is known.  */
struct shard_map *
roster_map (const struct roster *roster, const char *service)
{
  guint i;

  for (i = 0; i < roster->maps->len; i++)
    {
      struct shard_map *map = g_ptr_array_index (roster->maps, i);
      if (strcmp (map->service, service) == 0)
        return map;
    }
  return NULL;
}

/* Returns how many servers have crashed while they ran requests with
   DIGEST.  */
guint32
roster_crashes (const struct roster *roster, guint64 digest)
{
  guint i;

  for (i = 0; i < roster->suspects->len; i++)
    {
      const struct fleet_suspect *suspect
          = &g_array_index (roster->suspects, struct fleet_suspect, i);
      if (suspect->digest == digest)
        return suspect->crashes;
    }
  return 0;
}

/* Apply records */

/* Applies the record of a member.  */
static void
apply_member (struct roster *roster, const struct fleet_member *member,
              guint64 offset)
{
  struct handle h = roster_find (roster, member->name);
  struct fleet_member *known = table_get (&roster->members, h);

  if (known == NULL)
    {
      h = table_add (&roster->members);
      known = table_get (&roster->members, h);
      g_hash_table_insert (roster->by_name, g_strdup (member->name),
                           GUINT_TO_POINTER (h.bits));
    }
  *known = *member;
  known->offset = offset;
}

/* Takes over from PREVIOUS when each shard of MAP entered its state.  A shard
   that was lost, recovered and lost again has another term.  */
static void
copy_since (struct shard_map *map, const struct shard_map *previous,
            gint64 now)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct shard *old
          = previous != NULL ? shard_map_find (previous, shard->first) : NULL;
      gboolean same = old != NULL && old->state == shard->state
                      && old->fence == shard->fence && old->term == shard->term
                      && old->last >= shard->last;
      shard->since = same ? old->since : now;
    }
}

/* Applies the shard map of a service.  */
static void
apply_map (struct roster *roster, const struct shard_map *record,
           guint64 offset, gint64 now)
{
  struct shard_map *known = roster_map (roster, record->service);
  struct shard_map *map = g_new0 (struct shard_map, 1);

  shard_map_copy (map, record);
  map->offset = offset;
  copy_since (map, known, now);
  if (known != NULL)
    g_ptr_array_remove (roster->maps, known);
  g_ptr_array_add (roster->maps, map);
}

/* Applies the record of a request that crashes servers.  */
static void
apply_suspect (struct roster *roster, const struct fleet_suspect *record)
{
  guint i;

  for (i = 0; i < roster->suspects->len; i++)
    {
      struct fleet_suspect *suspect
          = &g_array_index (roster->suspects, struct fleet_suspect, i);
      if (suspect->digest == record->digest)
        {
          suspect->crashes = record->crashes;
          return;
        }
    }
  g_array_append_val (roster->suspects, *record);
}

/* Removes the member whose record had KEY.  */
static void
remove_key (struct roster *roster, const char *key)
{
  struct handle h;

  if (!g_str_has_prefix (key, "member/"))
    return;
  h = roster_find (roster, key + strlen ("member/"));
  if (!handle_is_set (h))
    return;
  table_remove (&roster->members, h);
  g_hash_table_remove (roster->by_name, key + strlen ("member/"));
}

/* Applies ENTRY at NOW.  Returns FALSE if a later record with its key is
   known.  */
gboolean
roster_fold (struct roster *roster, const struct fleet_entry *entry,
             gint64 now)
{
  const struct fleet_record *record = &entry->record;
  guint64 *offset = g_hash_table_lookup (roster->key_offset, record->key);

  if (offset != NULL && *offset >= entry->offset)
    return FALSE;
  g_hash_table_insert (roster->key_offset, g_strdup (record->key),
                       g_memdup2 (&entry->offset, sizeof entry->offset));
  roster->changes++;
  switch (record->kind)
    {
    case FLEET_MEMBER:
      apply_member (roster, &record->u.member, entry->offset);
      break;
    case FLEET_MAP:
      apply_map (roster, &record->u.map, entry->offset, now);
      break;
    case FLEET_SUSPECT:
      apply_suspect (roster, &record->u.suspect);
      break;
    case FLEET_DROPPED:
      remove_key (roster, record->key);
      break;
    }
  return TRUE;
}

/* Notes that all records below NEXT are applied.  */
void
roster_reach (struct roster *roster, guint64 next)
{
  roster->next = MAX (roster->next, next);
}

/* Rebuild records */

/* Rebuilds the record of KEY from the state.  */
static void
rebuild (const struct roster *roster, const char *key,
         struct fleet_record *record)
{
  const char *name = strchr (key, '/') + 1;
  const struct fleet_member *member;
  const struct shard_map *map;

  memset (record, 0, sizeof *record);
  g_strlcpy (record->key, key, sizeof record->key);
  record->kind = FLEET_DROPPED;
  if (g_str_has_prefix (key, "suspect/"))
    {
      record->kind = FLEET_SUSPECT;
      record->u.suspect.digest = g_ascii_strtoull (name, NULL, 16);
      record->u.suspect.crashes
          = roster_crashes (roster, record->u.suspect.digest);
      return;
    }
  member = roster_member_named (roster, name);
  map = roster_map (roster, name);
  if (g_str_has_prefix (key, "member/") && member != NULL)
    {
      record->kind = FLEET_MEMBER;
      record->u.member = *member;
    }
  else if (g_str_has_prefix (key, "map/") && map != NULL)
    {
      record->kind = FLEET_MAP;
      shard_map_copy (&record->u.map, map);
    }
}

/* Returns the newest record of each key that changed at OFFSET or later, as
   struct fleet_entry.  The caller clears each record and frees the array.  */
GArray *
roster_since (const struct roster *roster, guint64 offset)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, roster->key_offset);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct fleet_entry entry = { .offset = *(guint64 *)value };
      if (entry.offset < offset)
        continue;
      rebuild (roster, key, &entry.record);
      g_array_append_val (entries, entry);
    }
  return entries;
}

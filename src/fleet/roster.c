#include "fleet/roster.h"

/* Life */

/* Release a map; for GPtrArray.  */
static void
free_map (gpointer data)
{
  shard_map_clear (data);
  g_free (data);
}

/* Set up a roster of which nothing is known.  */
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

/* Release what ROSTER holds.  */
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

/* The member called NAME, or no handle.  */
struct handle
roster_find (const struct roster *roster, const char *name)
{
  struct handle h
      = { GPOINTER_TO_UINT (g_hash_table_lookup (roster->by_name, name)) };

  return h;
}

/* The member under H, or NULL.  */
const struct fleet_member *
roster_member_at (const struct roster *roster, struct handle h)
{
  return table_get (&roster->members, h);
}

/* The member called NAME, or NULL.  */
const struct fleet_member *
roster_member_named (const struct roster *roster, const char *name)
{
  return roster_member_at (roster, roster_find (roster, name));
}

/* Who holds the keys of SERVICE, or NULL if nothing is known.  */
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

/* How many servers have crashed while they ran requests with DIGEST.  */
guint32
roster_crashes (const struct roster *roster, guint64 digest)
{
  guint i;

  for (i = 0; i < roster->suspects->len; i++)
    {
      const struct fleet_suspect *suspect
          = &g_array_index (roster->suspects, struct fleet_suspect, i);
      if (suspect->digest == digest)
        return suspect->crash_count;
    }
  return 0;
}

/* Fold */

/* Take in what a node says of itself.  */
static void
fold_member (struct roster *roster, const struct fleet_member *member,
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
  known->store_offset = offset;
}

/* Carry over from BEFORE when each shard of MAP came to its state.  One that
   was lost, taken up again and lost anew has another term.  */
static void
keep_since (struct shard_map *map, const struct shard_map *before, gint64 now)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct shard *old
          = before != NULL ? shard_map_find (before, shard->first) : NULL;
      gboolean same = old != NULL && old->state == shard->state
                      && old->fence == shard->fence && old->loss_id == shard->loss_id
                      && old->last >= shard->last;
      shard->state_seen_at = same ? old->state_seen_at : now;
    }
}

/* Take in who holds the keys of a service.  */
static void
fold_map (struct roster *roster, const struct shard_map *record,
          guint64 offset, gint64 now)
{
  struct shard_map *known = roster_map (roster, record->service);
  struct shard_map *map = g_new0 (struct shard_map, 1);

  shard_map_copy (map, record);
  map->store_offset = offset;
  keep_since (map, known, now);
  if (known != NULL)
    g_ptr_array_remove (roster->maps, known);
  g_ptr_array_add (roster->maps, map);
}

/* Take in a request that crashes servers.  */
static void
fold_suspect (struct roster *roster, const struct fleet_suspect *record)
{
  guint i;

  for (i = 0; i < roster->suspects->len; i++)
    {
      struct fleet_suspect *suspect
          = &g_array_index (roster->suspects, struct fleet_suspect, i);
      if (suspect->digest == record->digest)
        {
          suspect->crash_count = record->crash_count;
          return;
        }
    }
  g_array_append_val (roster->suspects, *record);
}

/* Forget the member whose record had KEY.  */
static void
drop (struct roster *roster, const char *key)
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

/* Fold ENTRY at NOW.  Return FALSE if a later record of its key is known.  */
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
      fold_member (roster, &record->u.member, entry->offset);
      break;
    case FLEET_MAP:
      fold_map (roster, &record->u.map, entry->offset, now);
      break;
    case FLEET_SUSPECT:
      fold_suspect (roster, &record->u.suspect);
      break;
    case FLEET_TOMBSTONE:
      drop (roster, record->key);
      break;
    }
  return TRUE;
}

/* Note that all records below NEXT are known.  */
void
roster_reach (struct roster *roster, guint64 next)
{
  roster->next = MAX (roster->next, next);
}

/* Records again */

/* Make the record of KEY again.  */
static void
rebuild (const struct roster *roster, const char *key,
         struct fleet_record *record)
{
  const char *name = strchr (key, '/') + 1;
  const struct fleet_member *member;
  const struct shard_map *map;

  memset (record, 0, sizeof *record);
  g_strlcpy (record->key, key, sizeof record->key);
  record->kind = FLEET_TOMBSTONE;
  if (g_str_has_prefix (key, "suspect/"))
    {
      record->kind = FLEET_SUSPECT;
      record->u.suspect.digest = g_ascii_strtoull (name, NULL, 16);
      record->u.suspect.crash_count
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

/* The newest record of each key that changed at OFFSET or later, as struct
   fleet_entry; the caller clears each record and frees the array.  */
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

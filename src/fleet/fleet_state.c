#include "fleet/fleet_state.h"

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
fleet_state_init (struct fleet_state *fleet_state)
{
  memset (fleet_state, 0, sizeof *fleet_state);
  table_init (&fleet_state->members, sizeof (struct fleet_member));
  fleet_state->handles_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet_state->shard_maps = g_ptr_array_new_with_free_func (free_map);
  fleet_state->suspects
      = g_array_new (FALSE, TRUE, sizeof (struct fleet_suspect));
  fleet_state->offset_by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Release what ROSTER holds.  */
void
fleet_state_clear (struct fleet_state *fleet_state)
{
  table_clear (&fleet_state->members);
  g_hash_table_destroy (fleet_state->handles_by_name);
  g_ptr_array_free (fleet_state->shard_maps, TRUE);
  g_array_free (fleet_state->suspects, TRUE);
  g_hash_table_destroy (fleet_state->offset_by_key);
}

/* Look up */

/* The member called NAME, or no handle.  */
struct handle
fleet_state_find (const struct fleet_state *fleet_state, const char *name)
{
  struct handle h = { GPOINTER_TO_UINT (
      g_hash_table_lookup (fleet_state->handles_by_name, name)) };

  return h;
}

/* The member under H, or NULL.  */
const struct fleet_member *
fleet_state_member_at (const struct fleet_state *fleet_state, struct handle h)
{
  return table_get (&fleet_state->members, h);
}

/* The member called NAME, or NULL.  */
const struct fleet_member *
fleet_state_member_named (const struct fleet_state *fleet_state,
                          const char *name)
{
  return fleet_state_member_at (fleet_state,
                                fleet_state_find (fleet_state, name));
}

/* Who holds the keys of SERVICE, or NULL if nothing is known.  */
struct shard_map *
fleet_state_map (const struct fleet_state *fleet_state, const char *service)
{
  guint i;

  for (i = 0; i < fleet_state->shard_maps->len; i++)
    {
      struct shard_map *map = g_ptr_array_index (fleet_state->shard_maps, i);
      if (strcmp (map->service, service) == 0)
        return map;
    }
  return NULL;
}

/* How many servers have crashed while they ran requests with DIGEST.  */
guint32
fleet_state_crashes (const struct fleet_state *fleet_state, guint64 digest)
{
  guint i;

  for (i = 0; i < fleet_state->suspects->len; i++)
    {
      const struct fleet_suspect *suspect
          = &g_array_index (fleet_state->suspects, struct fleet_suspect, i);
      if (suspect->digest == digest)
        return suspect->crash_count;
    }
  return 0;
}

/* Fold */

/* Take in what a node says of itself.  */
static void
fold_member (struct fleet_state *fleet_state,
             const struct fleet_member *member, guint64 offset)
{
  struct handle h = fleet_state_find (fleet_state, member->name);
  struct fleet_member *known = table_get (&fleet_state->members, h);

  if (known == NULL)
    {
      h = table_add (&fleet_state->members);
      known = table_get (&fleet_state->members, h);
      g_hash_table_insert (fleet_state->handles_by_name,
                           g_strdup (member->name), GUINT_TO_POINTER (h.bits));
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
                      && old->fence == shard->fence
                      && old->loss_id == shard->loss_id
                      && old->last >= shard->last;
      shard->state_seen_at = same ? old->state_seen_at : now;
    }
}

/* Take in who holds the keys of a service.  */
static void
fold_map (struct fleet_state *fleet_state, const struct shard_map *record,
          guint64 offset, gint64 now)
{
  struct shard_map *known = fleet_state_map (fleet_state, record->service);
  struct shard_map *map = g_new0 (struct shard_map, 1);

  shard_map_copy (map, record);
  map->store_offset = offset;
  keep_since (map, known, now);
  if (known != NULL)
    g_ptr_array_remove (fleet_state->shard_maps, known);
  g_ptr_array_add (fleet_state->shard_maps, map);
}

/* Take in a request that crashes servers.  */
static void
fold_suspect (struct fleet_state *fleet_state,
              const struct fleet_suspect *record)
{
  guint i;

  for (i = 0; i < fleet_state->suspects->len; i++)
    {
      struct fleet_suspect *suspect
          = &g_array_index (fleet_state->suspects, struct fleet_suspect, i);
      if (suspect->digest == record->digest)
        {
          suspect->crash_count = record->crash_count;
          return;
        }
    }
  g_array_append_val (fleet_state->suspects, *record);
}

/* Forget the member whose record had KEY.  */
static void
drop (struct fleet_state *fleet_state, const char *key)
{
  struct handle h;

  if (!g_str_has_prefix (key, "member/"))
    return;
  h = fleet_state_find (fleet_state, key + strlen ("member/"));
  if (!handle_is_set (h))
    return;
  table_remove (&fleet_state->members, h);
  g_hash_table_remove (fleet_state->handles_by_name, key + strlen ("member/"));
}

/* Fold ENTRY at NOW.  Return FALSE if a later record of its key is known.  */
gboolean
fleet_state_apply (struct fleet_state *fleet_state,
                   const struct fleet_entry *entry, gint64 now)
{
  const struct fleet_record *record = &entry->record;
  guint64 *offset
      = g_hash_table_lookup (fleet_state->offset_by_key, record->key);

  if (offset != NULL && *offset >= entry->offset)
    return FALSE;
  g_hash_table_insert (fleet_state->offset_by_key, g_strdup (record->key),
                       g_memdup2 (&entry->offset, sizeof entry->offset));
  fleet_state->change_count++;
  switch (record->kind)
    {
    case FLEET_MEMBER:
      fold_member (fleet_state, &record->u.member, entry->offset);
      break;
    case FLEET_MAP:
      fold_map (fleet_state, &record->u.map, entry->offset, now);
      break;
    case FLEET_SUSPECT:
      fold_suspect (fleet_state, &record->u.suspect);
      break;
    case FLEET_TOMBSTONE:
      drop (fleet_state, record->key);
      break;
    }
  return TRUE;
}

/* Note that all records below NEXT are known.  */
void
fleet_state_advance (struct fleet_state *fleet_state, guint64 next)
{
  fleet_state->applied_offset = MAX (fleet_state->applied_offset, next);
}

/* Records again */

/* Make the record of KEY again.  */
static void
rebuild (const struct fleet_state *fleet_state, const char *key,
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
          = fleet_state_crashes (fleet_state, record->u.suspect.digest);
      return;
    }
  member = fleet_state_member_named (fleet_state, name);
  map = fleet_state_map (fleet_state, name);
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
fleet_state_since (const struct fleet_state *fleet_state, guint64 offset)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet_state->offset_by_key);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct fleet_entry entry = { .offset = *(guint64 *)value };
      if (entry.offset < offset)
        continue;
      rebuild (fleet_state, key, &entry.record);
      g_array_append_val (entries, entry);
    }
  return entries;
}

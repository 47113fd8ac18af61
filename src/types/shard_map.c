#include "types/shard_map.h"

#define SHARD_NUMBER_BYTES 40u /* encoded numbers of a shard */
/* Encoded bytes of TEXT with its length, in multiples of four.  */
#define TEXT_BYTES(text) (((gsize)4 + strlen (text) + 3) / 4 * 4)
/* Encoded bytes of the shards of a map; its record holds a key, the name of
   the service and some numbers besides.  */
#define MAP_BYTES_MAX (RECORD_BYTES_MAX - 4 * NAME_SIZE)
/* So many shards fit, whatever the names are.  */
#define SHARDS_WITH_ANY_NAMES                                                 \
  (MAP_BYTES_MAX                                                              \
   / (SHARD_NUMBER_BYTES + 3 * (4 + NAME_SIZE) + 4 + HANDOVER_TOKEN_SIZE))

/* Set up MAP as one free shard that covers all keys.  */
void
shard_map_init (struct shard_map *map, const char *service)
{
  struct shard all
      = { .last = SHARD_KEY_COUNT - 1, .owner = "", .next_owner = "" };

  memset (map, 0, sizeof *map);
  g_strlcpy (map->service, service, sizeof map->service);
  map->next_fence = 1;
  map->shards = g_array_new (FALSE, TRUE, sizeof (struct shard));
  g_array_append_val (map->shards, all);
}

/* Release what MAP owns.  */
void
shard_map_clear (struct shard_map *map)
{
  if (map->shards != NULL)
    g_array_free (map->shards, TRUE);
  map->shards = NULL;
}

/* Make TO a copy of FROM.  TO must own nothing.  */
void
shard_map_copy (struct shard_map *to, const struct shard_map *from)
{
  *to = *from;
  to->shards = g_array_copy (from->shards);
}

/* Return the shard at INDEX.  */
struct shard *
shard_map_at (const struct shard_map *map, guint index)
{
  return &g_array_index (map->shards, struct shard, index);
}

/* Return the number of keys in SHARD.  */
guint32
shard_key_count (const struct shard *shard)
{
  return shard->last - shard->first + 1;
}

/* Return the shard that contains KEY, which must be below SHARD_KEY_COUNT.  */
struct shard *
shard_map_find (const struct shard_map *map, guint32 key)
{
  guint low = 0;
  guint high = map->shards->len - 1;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (shard_map_at (map, middle)->last < key)
        low = middle + 1;
      else
        high = middle;
    }
  return shard_map_at (map, low);
}

/* Return the bytes that SHARD takes in a record: numbers, and four texts with
   their lengths, in multiples of four.  */
static gsize
encoded_size (const struct shard *shard)
{
  return SHARD_NUMBER_BYTES + TEXT_BYTES (shard->owner)
         + TEXT_BYTES (shard->instance.id) + TEXT_BYTES (shard->handover_token)
         + TEXT_BYTES (shard->next_owner);
}

/* Return how many shards MAP may have, so that its record fits into the store
   also when all shards are as long as the longest one.  */
static guint
max_shards (const struct shard_map *map)
{
  gsize longest = 1;
  guint i;

  if (map->shards->len < SHARDS_WITH_ANY_NAMES)
    return SHARDS_MAX;
  for (i = 0; i < map->shards->len; i++)
    longest = MAX (longest, encoded_size (shard_map_at (map, i)));
  return (guint)MIN (SHARDS_MAX, MAP_BYTES_MAX / longest);
}

/* Split the shard that contains FIRST, so that a shard begins at FIRST.  Do
   nothing if one does already, or if the map has as many shards as it may
   have.
   */
void
shard_map_split (struct shard_map *map, guint32 first)
{
  struct shard *left;
  struct shard right;
  guint index;

  if (first >= SHARD_KEY_COUNT || map->shards->len >= max_shards (map))
    return;
  left = shard_map_find (map, first);
  if (left->first == first)
    return;
  right = *left;
  right.first = first;
  left->last = first - 1;
  index = (guint)(left - shard_map_at (map, 0)) + 1;
  g_array_insert_val (map->shards, index, right);
}

/* Tell whether the neighbours A and B differ only in their keys.  */
static gboolean
can_merge (const struct shard *a, const struct shard *b)
{
  return a->state == b->state && a->fence == b->fence
         && a->loss_id == b->loss_id && strcmp (a->owner, b->owner) == 0
         && server_instance_equal (&a->instance, &b->instance)
         && strcmp (a->handover_token, b->handover_token) == 0
         && strcmp (a->next_owner, b->next_owner) == 0;
}

/* Tell whether A and B are the same but for what this process notes of
   them.  */
gboolean
shard_equal (const struct shard *a, const struct shard *b)
{
  return a->first == b->first && a->last == b->last && can_merge (a, b);
}

/* Merge neighbours that differ only in their keys.  */
void
shard_map_merge (struct shard_map *map)
{
  guint i = 1;

  while (i < map->shards->len)
    {
      struct shard *before = shard_map_at (map, i - 1);
      const struct shard *shard = shard_map_at (map, i);
      if (can_merge (before, shard))
        {
          before->last = shard->last;
          before->state_seen_at
              = MAX (before->state_seen_at, shard->state_seen_at);
          g_array_remove_index (map->shards, i);
        }
      else
        i++;
    }
}

/* Tell whether the shards are in the order of their keys and do not
   overlap.  */
gboolean
shard_map_is_ordered (const struct shard_map *map)
{
  guint32 next = 0;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      if (shard->first < next || shard->last < shard->first
          || shard->last >= SHARD_KEY_COUNT)
        return FALSE;
      next = shard->last + 1;
    }
  return TRUE;
}

/* Tell whether the shards cover all keys, each exactly once.  */
gboolean
shard_map_is_complete (const struct shard_map *map)
{
  guint32 keys = 0;
  guint i;

  if (!shard_map_is_ordered (map))
    return FALSE;
  for (i = 0; i < map->shards->len; i++)
    keys += shard_key_count (shard_map_at (map, i));
  return keys == SHARD_KEY_COUNT;
}

#include "shard/shard_place.h"

/* A holder that lacks this many percent of its share has others give it some;
   less than that is not worth the moves.  */
#define LACK_PERCENT 40

/* What is left of a shard after a split is no smaller than this share.  */
#define REST_SHARE 32

/* Shares */

/* The keys that NAME owns or is to own.  */
guint32
shard_owned_keys (const struct shard_map *map, const char *name)
{
  guint32 keys = 0;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      const char *owner
          = shard->next_owner[0] != '\0' ? shard->next_owner : shard->owner;
      if (shard->state == SHARD_HELD && strcmp (owner, name) == 0)
        keys += shard_key_count (shard);
    }
  return keys;
}

/* Tell whether NAME is to be given keys that another still holds.  */
gboolean
shard_is_receiving (const struct shard_map *map, const char *name)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    if (strcmp (shard_map_at (map, i)->next_owner, name) == 0)
      return TRUE;
  return FALSE;
}

/* The holder called NAME, or NULL.  */
const struct candidate *
shard_find_candidate (const GArray *holders, const char *name)
{
  guint i;

  for (i = 0; i < holders->len; i++)
    {
      const struct candidate *holder
          = &g_array_index (holders, struct candidate, i);
      if (strcmp (holder->node_name, name) == 0)
        return holder;
    }
  return NULL;
}

/* The keys that HOLDER should have by its weight.  */
static guint32
fair_share (const GArray *holders, const struct candidate *holder)
{
  guint64 total = 0;
  guint i;

  for (i = 0; i < holders->len; i++)
    total += g_array_index (holders, struct candidate, i).weight;
  return total == 0
             ? 0
             : (guint32)((guint64)SHARD_KEY_COUNT * holder->weight / total);
}

/* How many keys HOLDER lacks; less than zero if it has too many.  */
static gint64
lack_of (const struct shard_map *map, const GArray *holders,
         const struct candidate *holder)
{
  return (gint64)fair_share (holders, holder)
         - (gint64)shard_owned_keys (map, holder->node_name);
}

/* The holder that lacks most, or NULL if there is none.  */
const struct candidate *
shard_pick_candidate (const struct shard_map *map, const GArray *holders)
{
  const struct candidate *best = NULL;
  gint64 most = G_MININT64;
  guint i;

  for (i = 0; i < holders->len; i++)
    {
      const struct candidate *holder
          = &g_array_index (holders, struct candidate, i);
      gint64 lack = lack_of (map, holders, holder);
      if (lack > most)
        {
          most = lack;
          best = holder;
        }
    }
  return best;
}

/* Moves */

/* Have HOLDER hold SHARD, which nobody holds, with a handover TOKEN or
   none.  */
void
shard_assign (struct shard_map *map, struct shard *shard,
              const struct candidate *holder, const char *token)
{
  char kept[NAME_SIZE];

  g_strlcpy (kept, token, sizeof kept);
  shard->state = SHARD_HELD;
  g_strlcpy (shard->owner, holder->node_name, sizeof shard->owner);
  shard->instance = holder->instance;
  shard->fence = map->next_fence++;
  g_strlcpy (shard->handover_token, kept, sizeof shard->handover_token);
  shard->next_owner[0] = '\0';
}

/* Tell whether SHARD may be given away: it is free, or was lost before
   LOST_BEFORE.  */
static gboolean
is_open (const struct shard *shard, gint64 lost_before)
{
  return shard->state == SHARD_FREE
         || (shard->state == SHARD_LOST && shard->state_seen_at < lost_before);
}

/* Give out the shards that are open, in parts where one is more than the
   neediest holder lacks.  Return whether anything changed.  */
gboolean
shard_place_unowned (struct shard_map *map, const GArray *holders,
                     gint64 lost_before)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; holders->len > 0 && i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct candidate *holder;
      gint64 lack;
      if (!is_open (shard, lost_before))
        continue;
      holder = shard_pick_candidate (map, holders);
      lack = MAX (1, lack_of (map, holders, holder));
      if (holders->len > 1
          && (gint64)shard_key_count (shard) > lack + lack / REST_SHARE
          && lack > SHARD_KEY_COUNT / SHARDS_MAX)
        shard_map_split (map, shard->first + (guint32)lack);
      shard = shard_map_at (map, i);
      shard_assign (map, shard, holder,
                    shard->state == SHARD_FREE ? shard->handover_token : "");
      changed = TRUE;
    }
  return changed;
}

/* Have others give up to WANTED keys to HOLDER.  */
static gboolean
take_from_others (struct shard_map *map, const GArray *holders,
                  const struct candidate *holder, gint64 wanted)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; wanted > 0 && i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct candidate *giver
          = shard_find_candidate (holders, shard->owner);
      gint64 spare;
      if (shard->state != SHARD_HELD || shard->next_owner[0] != '\0'
          || giver == NULL || giver == holder)
        continue;
      spare = MIN (wanted, -lack_of (map, holders, giver));
      if (spare <= 0)
        continue;
      if ((gint64)shard_key_count (shard) > spare)
        shard_map_split (map, shard->first + (guint32)spare);
      shard = shard_map_at (map, i);
      g_strlcpy (shard->next_owner, holder->node_name,
                 sizeof shard->next_owner);
      wanted -= shard_key_count (shard);
      changed = TRUE;
    }
  return changed;
}

/* Have the holder that lacks most of its share given some by those that have
   too much.  Return whether anything changed.  */
gboolean
shard_place_balance (struct shard_map *map, const GArray *holders)
{
  const struct candidate *holder = shard_pick_candidate (map, holders);
  gint64 lack;

  if (holder == NULL)
    return FALSE;
  lack = lack_of (map, holders, holder);
  if (lack * 100 < (gint64)fair_share (holders, holder) * LACK_PERCENT)
    return FALSE;
  return take_from_others (map, holders, holder, lack);
}

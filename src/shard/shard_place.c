#include "shard/shard_place.h"

/* Keys are moved to a candidate that is short of its fair share by this many
   percent; a smaller shortfall is not worth the moves.  */
#define SHORTFALL_PERCENT 40

/* A shard is split only if the remainder exceeds one part in this many of the
   split-off part.  */
#define REMAINDER_FRACTION 32

/* Shares */

/* Return the number of keys that NAME owns or is about to own.  */
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

/* Return whether keys that another node still holds are to move to NAME.  */
gboolean
shard_is_receiving (const struct shard_map *map, const char *name)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    if (strcmp (shard_map_at (map, i)->next_owner, name) == 0)
      return TRUE;
  return FALSE;
}

/* Return the candidate called NAME, or NULL.  */
const struct candidate *
shard_find_candidate (const GArray *candidates, const char *name)
{
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);
      if (strcmp (candidate->node_name, name) == 0)
        return candidate;
    }
  return NULL;
}

/* Return the number of keys that CANDIDATE should have by its weight.  */
static guint32
fair_share (const GArray *candidates, const struct candidate *candidate)
{
  guint64 total = 0;
  guint i;

  for (i = 0; i < candidates->len; i++)
    total += g_array_index (candidates, struct candidate, i).weight;
  return total == 0
             ? 0
             : (guint32)((guint64)SHARD_KEY_COUNT * candidate->weight / total);
}

/* Return how many keys CANDIDATE is short of its fair share; negative if it
   has too many.  */
static gint64
shortfall_of (const struct shard_map *map, const GArray *candidates,
              const struct candidate *candidate)
{
  return (gint64)fair_share (candidates, candidate)
         - (gint64)shard_owned_keys (map, candidate->node_name);
}

/* Return the candidate with the largest shortfall, or NULL without
   candidates.  */
const struct candidate *
shard_pick_candidate (const struct shard_map *map, const GArray *candidates)
{
  const struct candidate *best = NULL;
  gint64 largest = G_MININT64;
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);
      gint64 shortfall = shortfall_of (map, candidates, candidate);
      if (shortfall > largest)
        {
          largest = shortfall;
          best = candidate;
        }
    }
  return best;
}

/* Moves */

/* Assign SHARD, which no server holds, to CANDIDATE with the handover TOKEN,
   which may be empty.  */
void
shard_assign (struct shard_map *map, struct shard *shard,
              const struct candidate *candidate, const char *token)
{
  char token_copy[NAME_SIZE];

  g_strlcpy (token_copy, token, sizeof token_copy);
  shard->state = SHARD_HELD;
  shard->owner = g_intern_string (candidate->node_name);
  shard->instance = candidate->instance;
  shard->fence = map->next_fence++;
  g_strlcpy (shard->handover_token, token_copy, sizeof shard->handover_token);
  shard->next_owner = "";
}

/* Return whether SHARD may be assigned: it is free, or was lost before
   LOST_BEFORE.  */
static gboolean
is_assignable (const struct shard *shard, gint64 lost_before)
{
  return shard->state == SHARD_FREE
         || (shard->state == SHARD_LOST && shard->state_seen_at < lost_before);
}

/* Assign the unowned shards.  A shard larger than the shortfall of its
   candidate is split.  Return whether anything changed.  */
gboolean
shard_place_unowned (struct shard_map *map, const GArray *candidates,
                     gint64 lost_before)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; candidates->len > 0 && i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct candidate *candidate;
      gint64 shortfall;
      if (!is_assignable (shard, lost_before))
        continue;
      candidate = shard_pick_candidate (map, candidates);
      shortfall = MAX (1, shortfall_of (map, candidates, candidate));
      if (candidates->len > 1
          && (gint64)shard_key_count (shard)
                 > shortfall + shortfall / REMAINDER_FRACTION
          && shortfall > SHARD_KEY_COUNT / SHARDS_MAX)
        shard_map_split (map, shard->first + (guint32)shortfall);
      shard = shard_map_at (map, i);
      shard_assign (map, shard, candidate,
                    shard->state == SHARD_FREE ? shard->handover_token : "");
      changed = TRUE;
    }
  return changed;
}

/* Mark up to WANTED keys of candidates with too many keys to move to
   CANDIDATE.  Return whether any key was marked.  */
static gboolean
take_from_others (struct shard_map *map, const GArray *candidates,
                  const struct candidate *candidate, gint64 wanted)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; wanted > 0 && i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct candidate *donor
          = shard_find_candidate (candidates, shard->owner);
      gint64 surplus;
      if (shard->state != SHARD_HELD || shard->next_owner[0] != '\0'
          || donor == NULL || donor == candidate)
        continue;
      surplus = MIN (wanted, -shortfall_of (map, candidates, donor));
      if (surplus <= 0)
        continue;
      if ((gint64)shard_key_count (shard) > surplus)
        shard_map_split (map, shard->first + (guint32)surplus);
      shard = shard_map_at (map, i);
      shard->next_owner = g_intern_string (candidate->node_name);
      wanted -= shard_key_count (shard);
      changed = TRUE;
    }
  return changed;
}

/* Let the candidates with too many keys give some to the one with the largest
   shortfall.  Return whether anything changed.  */
gboolean
shard_place_balance (struct shard_map *map, const GArray *candidates)
{
  const struct candidate *candidate = shard_pick_candidate (map, candidates);
  gint64 shortfall;

  if (candidate == NULL)
    return FALSE;
  shortfall = shortfall_of (map, candidates, candidate);
  if (shortfall * 100
      < (gint64)fair_share (candidates, candidate) * SHORTFALL_PERCENT)
    return FALSE;
  return take_from_others (map, candidates, candidate, shortfall);
}

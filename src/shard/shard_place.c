#include "shard/shard_place.h"

/* Keys are moved to a candidate that is short of its fair share by this many
   percent; a smaller shortfall is not worth the moves.  */
#define SHORTFALL_PERCENT 40

/* A shard is split only if the remainder exceeds one part in this many of the
   split-off part.  */
#define REMAINDER_FRACTION 32

/* Shares */

/* Returns the number of keys that NAME owns or is about to own.  */
guint32
shard_share (const struct shard_map *map, const char *name)
{
  guint32 keys = 0;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      const char *owner = shard->next[0] != '\0' ? shard->next : shard->owner;
      if (shard->state == SHARD_HELD && strcmp (owner, name) == 0)
        keys += shard_keys (shard);
    }
  return keys;
}

/* Tells whether keys that another node still holds are to move to NAME.  */
gboolean
shard_is_receiving (const struct shard_map *map, const char *name)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    if (strcmp (shard_map_at (map, i)->next, name) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the candidate called NAME, or NULL.  */
const struct holder *
shard_holder (const GArray *candidates, const char *name)
{
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct holder *candidate
          = &g_array_index (candidates, struct holder, i);
      if (strcmp (candidate->name, name) == 0)
        return candidate;
    }
  return NULL;
}

/* Returns the number of keys that CANDIDATE should have by its weight.  */
static guint32
fair_share (const GArray *candidates, const struct holder *candidate)
{
  guint64 total = 0;
  guint i;

  for (i = 0; i < candidates->len; i++)
    total += g_array_index (candidates, struct holder, i).weight;
  return total == 0
             ? 0
             : (guint32)((guint64)SHARD_KEYS * candidate->weight / total);
}

/* Returns how many keys CANDIDATE is short of its fair share; negative if it
   has too many.  */
static gint64
shortfall_of (const struct shard_map *map, const GArray *candidates,
              const struct holder *candidate)
{
  return (gint64)fair_share (candidates, candidate)
         - (gint64)shard_share (map, candidate->name);
}

/* Returns the candidate with the largest shortfall, or NULL without
   candidates.  */
const struct holder *
shard_neediest (const struct shard_map *map, const GArray *candidates)
{
  const struct holder *best = NULL;
  gint64 largest = G_MININT64;
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct holder *candidate
          = &g_array_index (candidates, struct holder, i);
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

/* Assigns SHARD, which no server holds, to CANDIDATE with the handover TOKEN,
   which may be empty.  */
void
shard_assign (struct shard_map *map, struct shard *shard,
              const struct holder *candidate, const char *token)
{
  char token_copy[NAME_SIZE];

  g_strlcpy (token_copy, token, sizeof token_copy);
  shard->state = SHARD_HELD;
  g_strlcpy (shard->owner, candidate->name, sizeof shard->owner);
  shard->life = candidate->life;
  shard->fence = map->next_fence++;
  g_strlcpy (shard->handover, token_copy, sizeof shard->handover);
  shard->next[0] = '\0';
}

/* Tells whether SHARD may be assigned: it is free, or was lost before
   LOST_BEFORE.  */
static gboolean
is_assignable (const struct shard *shard, gint64 lost_before)
{
  return shard->state == SHARD_FREE
         || (shard->state == SHARD_LOST && shard->since < lost_before);
}

/* Assigns the unowned shards.  A shard larger than the shortfall of its
   candidate is split.  Returns whether anything changed.  */
gboolean
shard_place_open (struct shard_map *map, const GArray *candidates,
                  gint64 lost_before)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; candidates->len > 0 && i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct holder *candidate;
      gint64 shortfall;
      if (!is_assignable (shard, lost_before))
        continue;
      candidate = shard_neediest (map, candidates);
      shortfall = MAX (1, shortfall_of (map, candidates, candidate));
      if (candidates->len > 1
          && (gint64)shard_keys (shard)
                 > shortfall + shortfall / REMAINDER_FRACTION
          && shortfall > SHARD_KEYS / SHARDS_MAX)
        shard_map_split (map, shard->first + (guint32)shortfall);
      shard = shard_map_at (map, i);
      shard_assign (map, shard, candidate,
                    shard->state == SHARD_FREE ? shard->handover : "");
      changed = TRUE;
    }
  return changed;
}

/* Marks up to WANTED keys of other candidates to move to CANDIDATE.  */
static gboolean
take_from_others (struct shard_map *map, const GArray *candidates,
                  const struct holder *candidate, gint64 wanted)
{
  gboolean changed = FALSE;
  guint i;

  for (i = 0; wanted > 0 && i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      const struct holder *donor = shard_holder (candidates, shard->owner);
      gint64 surplus;
      if (shard->state != SHARD_HELD || shard->next[0] != '\0' || donor == NULL
          || donor == candidate)
        continue;
      surplus = MIN (wanted, -shortfall_of (map, candidates, donor));
      if (surplus <= 0)
        continue;
      if ((gint64)shard_keys (shard) > surplus)
        shard_map_split (map, shard->first + (guint32)surplus);
      shard = shard_map_at (map, i);
      g_strlcpy (shard->next, candidate->name, sizeof shard->next);
      wanted -= shard_keys (shard);
      changed = TRUE;
    }
  return changed;
}

/* Lets the candidates with too many keys give some to the one with the largest
   shortfall.  Returns whether anything changed.  */
gboolean
shard_place_even (struct shard_map *map, const GArray *candidates)
{
  const struct holder *candidate = shard_neediest (map, candidates);
  gint64 shortfall;

  if (candidate == NULL)
    return FALSE;
  shortfall = shortfall_of (map, candidates, candidate);
  if (shortfall * 100
      < (gint64)fair_share (candidates, candidate) * SHORTFALL_PERCENT)
    return FALSE;
  return take_from_others (map, candidates, candidate, shortfall);
}

#include "shard/shard_duty.h"

/* Tells whether another node can take keys.  */
static gboolean
has_other_candidate (const struct duty *duty)
{
  return duty->holders->len
         > (shard_holder (duty->holders, duty->self) != NULL ? 1u : 0u);
}

/* Tells whether the server is to give up SHARD, which this node owns.  A
   server that stops gives up all shards as soon as another node can take
   them.  */
static gboolean
must_release (const struct shard *shard, const struct duty *duty)
{
  if (grant_is_leaving (duty->grant))
    return has_other_candidate (duty) || duty->grant->left;
  return shard->next[0] != '\0'
         && shard_holder (duty->holders, shard->next) != NULL;
}

/* Returns the candidate that gets SHARD after this node, or NULL.  */
static const struct holder *
successor (const struct shard_map *map, const struct shard *shard,
           const struct duty *duty)
{
  const struct holder *next = shard_holder (duty->holders, shard->next);

  if (next == NULL)
    next = shard_neediest (map, duty->holders);
  if (next != NULL && strcmp (next->name, duty->self) == 0)
    return NULL;
  return next;
}

/* Assigns SHARD, which no server holds any more, to its next owner, or marks
   it as free.  */
static void
pass_on (struct shard_map *map, struct shard *shard, const struct duty *duty,
         const char *token)
{
  const struct holder *next = successor (map, shard, duty);

  if (next != NULL)
    {
      shard_assign (map, shard, next, token);
      return;
    }
  shard->state = SHARD_FREE;
  g_strlcpy (shard->handover, token, sizeof shard->handover);
  shard->next[0] = '\0';
}

/* Updates SHARD, which belongs to the known instance of this node's server.
   Returns whether it changed.  */
static gboolean
reconcile_shard (struct shard_map *map, struct shard *shard,
                 const struct duty *duty)
{
  const struct grant *grant = duty->grant;
  gboolean abandoned = grant_is_gone (grant, duty->now);
  const char *token;

  if (shard->state == SHARD_LOST)
    {
      if (!grant->heard || grant_is_leaving (grant) || abandoned)
        return FALSE;
      shard->state = SHARD_HELD;
      return TRUE;
    }
  if (abandoned)
    {
      pass_on (map, shard, duty, "");
      return TRUE;
    }
  if (must_release (shard, duty))
    {
      if (!grant_is_released (grant, shard, duty->now, &token))
        return FALSE;
      pass_on (map, shard, duty, token);
      return TRUE;
    }
  if (shard->next[0] == '\0')
    return FALSE;
  shard->next[0] = '\0';
  return TRUE;
}

/* Updates the shards of this node in MAP: shards of an earlier instance of its
   server go to the current instance, released shards go to another node.
   Returns whether anything changed.  */
gboolean
shard_duty (struct shard_map *map, const struct duty *duty)
{
  const struct grant *grant = duty->grant;
  const struct holder *self = shard_holder (duty->holders, duty->self);
  gboolean changed = FALSE;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->state == SHARD_FREE || strcmp (shard->owner, duty->self) != 0
          || !life_is_set (&grant->life))
        continue;
      if (life_equal (&shard->life, &grant->life))
        changed = reconcile_shard (map, shard, duty) || changed;
      else if (grant->heard && shard->life.born < grant->life.born)
        {
          if (self != NULL && shard->next[0] == '\0')
            shard_assign (map, shard, self, "");
          else
            pass_on (map, shard, duty, "");
          changed = TRUE;
        }
    }
  if (changed)
    shard_map_merge (map);
  return changed;
}

/* Tells whether the server already holds all of SHARD.  */
static gboolean
is_held (const struct grant *grant, const struct shard *shard)
{
  guint i;

  for (i = 0; i < grant->held; i++)
    if (grant->hold[i].first <= shard->first
        && grant->hold[i].last >= shard->last)
      return TRUE;
  return FALSE;
}

/* Adds SHARD to the ranges of ANSWER.  Extends the previous range if fence and
   handover token allow it.  */
static void
add_range (struct beat_answer *answer, const struct shard *shard,
           const char *token)
{
  struct beat_row *previous
      = answer->count > 0 ? &answer->row[answer->count - 1] : NULL;
  struct beat_row *range;

  if (previous != NULL && previous->last + 1 == shard->first
      && previous->fence == shard->fence && previous->token[0] == '\0'
      && token[0] == '\0')
    {
      previous->last = shard->last;
      return;
    }
  if (answer->count >= BEAT_ROWS_MAX)
    return;
  range = &answer->row[answer->count++];
  range->first = shard->first;
  range->last = shard->last;
  range->fence = shard->fence;
  g_strlcpy (range->token, token, sizeof range->token);
}

/* Fills ANSWER with the ranges that the server is to hold.  */
void
shard_rows (const struct shard_map *map, const struct duty *duty,
            struct beat_answer *answer)
{
  guint i;

  answer->count = 0;
  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      if (shard->state != SHARD_HELD || strcmp (shard->owner, duty->self) != 0
          || !life_equal (&shard->life, &duty->grant->life)
          || must_release (shard, duty))
        continue;
      add_range (answer, shard,
                 is_held (duty->grant, shard) ? "" : shard->handover);
    }
}

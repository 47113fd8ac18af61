#include "shard/shard_duty.h"

/* Tell whether there is anyone else to take keys.  */
static gboolean
has_others (const struct duty *duty)
{
  return duty->holders->len
         > (shard_holder (duty->holders, duty->self) != NULL ? 1u : 0u);
}

/* Tell whether the server is to give SHARD, which this node owns, up.  One
   that leaves gives all up as soon as another can have it.  */
static gboolean
is_to_go (const struct shard *shard, const struct duty *duty)
{
  if (grant_is_leaving (duty->grant))
    return has_others (duty) || duty->grant->left;
  return shard->next_owner[0] != '\0'
         && shard_holder (duty->holders, shard->next_owner) != NULL;
}

/* Who is to have SHARD after this node, or NULL.  */
static const struct holder *
successor (const struct shard_map *map, const struct shard *shard,
           const struct duty *duty)
{
  const struct holder *next = shard_holder (duty->holders, shard->next_owner);

  if (next == NULL)
    next = shard_neediest (map, duty->holders);
  if (next != NULL && strcmp (next->name, duty->self) == 0)
    return NULL;
  return next;
}

/* Pass SHARD, which nobody holds any more, on, or say that it is free.  */
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
  g_strlcpy (shard->handover_token, token, sizeof shard->handover_token);
  shard->next_owner[0] = '\0';
}

/* Look after SHARD, whose holder is the life of the server that this node
   knows.  Return whether it changed.  */
static gboolean
tend (struct shard_map *map, struct shard *shard, const struct duty *duty)
{
  const struct grant *grant = duty->grant;
  gboolean gone = grant_is_gone (grant, duty->now);
  const char *token;

  if (shard->state == SHARD_LOST)
    {
      if (!grant->heard || grant_is_leaving (grant) || gone)
        return FALSE;
      shard->state = SHARD_HELD;
      return TRUE;
    }
  if (gone)
    {
      pass_on (map, shard, duty, "");
      return TRUE;
    }
  if (is_to_go (shard, duty))
    {
      if (!grant_is_released (grant, shard, duty->now, &token))
        return FALSE;
      pass_on (map, shard, duty, token);
      return TRUE;
    }
  if (shard->next_owner[0] == '\0')
    return FALSE;
  shard->next_owner[0] = '\0';
  return TRUE;
}

/* Change in MAP what concerns the shards of this node: those of an earlier
   life of its server go to the life that followed, those that the server has
   given up go to another node.  Return whether anything changed.  */
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
          || !server_instance_is_set (&grant->instance))
        continue;
      if (server_instance_equal (&shard->instance, &grant->instance))
        changed = tend (map, shard, duty) || changed;
      else if (grant->heard && shard->instance.started_at_msec < grant->instance.started_at_msec)
        {
          if (self != NULL && shard->next_owner[0] == '\0')
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

/* Tell whether the server holds all of SHARD already.  */
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

/* Add SHARD to the rows of ANSWER, joined to the one before where nothing
   tells them apart.  */
static void
add_row (struct heartbeat_answer *answer, const struct shard *shard,
         const char *token)
{
  struct key_range *last
      = answer->range_count > 0 ? &answer->ranges[answer->range_count - 1] : NULL;
  struct key_range *row;

  if (last != NULL && last->last + 1 == shard->first
      && last->fence == shard->fence && last->handover_token[0] == '\0'
      && token[0] == '\0')
    {
      last->last = shard->last;
      return;
    }
  if (answer->range_count >= HEARTBEAT_RANGES_MAX)
    return;
  row = &answer->ranges[answer->range_count++];
  row->first = shard->first;
  row->last = shard->last;
  row->fence = shard->fence;
  g_strlcpy (row->handover_token, token, sizeof row->handover_token);
}

/* Fill ANSWER with the ranges that the server is to hold.  */
void
shard_rows (const struct shard_map *map, const struct duty *duty,
            struct heartbeat_answer *answer)
{
  guint i;

  answer->range_count = 0;
  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      if (shard->state != SHARD_HELD || strcmp (shard->owner, duty->self) != 0
          || !server_instance_equal (&shard->instance, &duty->grant->instance)
          || is_to_go (shard, duty))
        continue;
      add_row (answer, shard,
               is_held (duty->grant, shard) ? "" : shard->handover_token);
    }
}

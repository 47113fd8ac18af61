#include "shard/shard_reconcile.h"

/* Tell whether there is anyone else to take keys.  */
static gboolean
has_others (const struct shard_owner *shard_owner)
{
  return shard_owner->candidates->len
         > (shard_find_candidate (shard_owner->candidates,
                                  shard_owner->node_name)
                    != NULL
                ? 1u
                : 0u);
}

/* Tell whether the server is to give SHARD, which this node owns, up.  One
   that leaves gives all up as soon as another can have it.  */
static gboolean
is_to_go (const struct shard *shard, const struct shard_owner *shard_owner)
{
  if (grant_is_leaving (shard_owner->grant))
    return has_others (shard_owner) || shard_owner->grant->is_deregistered;
  return shard->next_owner[0] != '\0'
         && shard_find_candidate (shard_owner->candidates, shard->next_owner)
                != NULL;
}

/* Who is to have SHARD after this node, or NULL.  */
static const struct candidate *
successor (const struct shard_map *map, const struct shard *shard,
           const struct shard_owner *shard_owner)
{
  const struct candidate *next
      = shard_find_candidate (shard_owner->candidates, shard->next_owner);

  if (next == NULL)
    next = shard_pick_candidate (map, shard_owner->candidates);
  if (next != NULL && strcmp (next->node_name, shard_owner->node_name) == 0)
    return NULL;
  return next;
}

/* Pass SHARD, which nobody holds any more, on, or say that it is free.  */
static void
pass_on (struct shard_map *map, struct shard *shard,
         const struct shard_owner *shard_owner, const char *token)
{
  const struct candidate *next = successor (map, shard, shard_owner);

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
tend (struct shard_map *map, struct shard *shard,
      const struct shard_owner *shard_owner)
{
  const struct grant *grant = shard_owner->grant;
  gboolean gone = grant_is_abandoned (grant, shard_owner->now);
  const char *token;

  if (shard->state == SHARD_LOST)
    {
      if (!grant->heartbeat_received || grant_is_leaving (grant) || gone)
        return FALSE;
      shard->state = SHARD_HELD;
      return TRUE;
    }
  if (gone)
    {
      pass_on (map, shard, shard_owner, "");
      return TRUE;
    }
  if (is_to_go (shard, shard_owner))
    {
      if (!grant_is_released (grant, shard, shard_owner->now, &token))
        return FALSE;
      pass_on (map, shard, shard_owner, token);
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
shard_reconcile (struct shard_map *map, const struct shard_owner *shard_owner)
{
  const struct grant *grant = shard_owner->grant;
  const struct candidate *self
      = shard_find_candidate (shard_owner->candidates, shard_owner->node_name);
  gboolean changed = FALSE;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->state == SHARD_FREE
          || strcmp (shard->owner, shard_owner->node_name) != 0
          || !server_instance_is_set (&grant->instance))
        continue;
      if (server_instance_equal (&shard->instance, &grant->instance))
        changed = tend (map, shard, shard_owner) || changed;
      else if (grant->heartbeat_received
               && shard->instance.started_at_msec
                      < grant->instance.started_at_msec)
        {
          if (self != NULL && shard->next_owner[0] == '\0')
            shard_assign (map, shard, self, "");
          else
            pass_on (map, shard, shard_owner, "");
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

  for (i = 0; i < grant->held_count; i++)
    if (grant->held_ranges[i].first <= shard->first
        && grant->held_ranges[i].last >= shard->last)
      return TRUE;
  return FALSE;
}

/* Add SHARD to the rows of ANSWER, joined to the one before where nothing
   tells them apart.  */
static void
add_row (struct heartbeat_answer *answer, const struct shard *shard,
         const char *token)
{
  struct key_range *last = answer->range_count > 0
                               ? &answer->ranges[answer->range_count - 1]
                               : NULL;
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
shard_ranges_to_hold (const struct shard_map *map,
                      const struct shard_owner *shard_owner,
                      struct heartbeat_answer *answer)
{
  guint i;

  answer->range_count = 0;
  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      if (shard->state != SHARD_HELD
          || strcmp (shard->owner, shard_owner->node_name) != 0
          || !server_instance_equal (&shard->instance,
                                     &shard_owner->grant->instance)
          || is_to_go (shard, shard_owner))
        continue;
      add_row (answer, shard,
               is_held (shard_owner->grant, shard) ? ""
                                                   : shard->handover_token);
    }
}

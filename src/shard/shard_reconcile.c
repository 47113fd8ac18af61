#include "shard/shard_reconcile.h"

/* Return whether another node can take keys.  */
static gboolean
has_other_candidate (const struct shard_owner *owner)
{
  return owner->candidates->len
         > (shard_find_candidate (owner->candidates, owner->node_name) != NULL
                ? 1u
                : 0u);
}

/* Return whether the server is to release SHARD, which this node owns.  A
   server that stops, or whose data centre is evacuated, releases all shards as
   soon as another node can take them.  */
static gboolean
must_release (const struct shard *shard, const struct shard_owner *owner)
{
  if (grant_is_leaving (owner->grant))
    return has_other_candidate (owner) || owner->grant->is_deregistered;
  if (owner->is_evacuated)
    return has_other_candidate (owner);
  return shard->next_owner[0] != '\0'
         && shard_find_candidate (owner->candidates, shard->next_owner)
                != NULL;
}

/* Return the candidate that gets SHARD after this node, or NULL.  */
static const struct candidate *
successor (const struct shard_map *map, const struct shard *shard,
           const struct shard_owner *owner)
{
  const struct candidate *next
      = shard_find_candidate (owner->candidates, shard->next_owner);

  if (next == NULL)
    next = shard_pick_candidate (map, owner->candidates);
  if (next != NULL && strcmp (next->node_name, owner->node_name) == 0)
    return NULL;
  return next;
}

/* Return whether SHARD is divided among the candidates by their shares once it
   is released.  An evacuated owner is one of many, so one candidate would get
   several times its share of keys.  */
static gboolean
is_divided (const struct shard *shard, const struct shard_owner *owner)
{
  return owner->is_evacuated
         && shard_find_candidate (owner->candidates, shard->next_owner)
                == NULL;
}

/* Assign SHARD, which no server holds any more, to its next owner, or mark it
   as free.  */
static void
pass_on (struct shard_map *map, struct shard *shard,
         const struct shard_owner *owner, const char *token)
{
  const struct candidate *next = successor (map, shard, owner);

  if (next != NULL && !is_divided (shard, owner))
    {
      shard_assign (map, shard, next, token);
      return;
    }
  shard->state = SHARD_FREE;
  g_strlcpy (shard->handover_token, token, sizeof shard->handover_token);
  shard->next_owner = "";
}

/* Assign SHARD, which was given up though this node is to keep it, to this
   node under a new fence, once its server has released it.  Return whether
   SHARD changed.  */
static gboolean
renew_fence (struct shard_map *map, struct shard *shard,
             const struct shard_owner *owner)
{
  const struct candidate *self
      = shard_find_candidate (owner->candidates, owner->node_name);
  const char *token;

  if (!grant_is_released (owner->grant, shard, owner->now, &token))
    return FALSE;
  if (self != NULL)
    shard_assign (map, shard, self, token);
  else
    pass_on (map, shard, owner, token);
  return TRUE;
}

/* Assign SHARD, whose fence may have been passed by one that is lost, to this
   node under a new one, or to another node if the server leaves.  Return
   whether SHARD changed.  */
static gboolean
assign_again (struct shard_map *map, struct shard *shard,
              const struct shard_owner *owner)
{
  const struct candidate *self
      = shard_find_candidate (owner->candidates, owner->node_name);
  const char *token = "";

  if (!owner->grant->heartbeat_received)
    return FALSE;
  if (self != NULL)
    shard_assign (map, shard, self, "");
  else if (grant_is_released (owner->grant, shard, owner->now, &token))
    pass_on (map, shard, owner, token);
  else
    return FALSE;
  return TRUE;
}

/* Split the shards of MAP where a release of part of them begins or ends.  */
static void
split_surrendered (struct shard_map *map, const struct grant *grant)
{
  guint i;

  if (grant->method != GRANT_BY_CALL)
    return;
  for (i = 0; i < grant->u.calls.leases->len; i++)
    {
      const struct key_lease *lease
          = &g_array_index (grant->u.calls.leases, struct key_lease, i);
      if (lease->state < KEY_LEASE_RELEASING)
        continue;
      shard_map_split (map, lease->first);
      if (lease->last + 1 < SHARD_KEY_COUNT)
        shard_map_split (map, lease->last + 1);
    }
}

/* Update SHARD, which belongs to the known instance of this node's server.
   Return whether it changed.  */
static gboolean
reconcile_shard (struct shard_map *map, struct shard *shard,
                 const struct shard_owner *owner)
{
  const struct grant *grant = owner->grant;
  gboolean abandoned = grant_is_abandoned (grant, owner->now);
  const char *token;

  if (shard->state == SHARD_LOST)
    {
      if (!grant->heartbeat_received || grant_is_leaving (grant) || abandoned)
        return FALSE;
      shard->state = SHARD_HELD;
      return TRUE;
    }
  if (abandoned)
    {
      pass_on (map, shard, owner, "");
      return TRUE;
    }
  if (shard->fence < owner->min_fence)
    return assign_again (map, shard, owner);
  if (must_release (shard, owner))
    {
      if (!grant_is_released (grant, shard, owner->now, &token))
        return FALSE;
      pass_on (map, shard, owner, token);
      return TRUE;
    }
  if (grant_is_surrendered (grant, shard))
    return renew_fence (map, shard, owner);
  if (shard->next_owner[0] == '\0')
    return FALSE;
  shard->next_owner = "";
  return TRUE;
}

/* Update the shards of this node in MAP: shards of an earlier instance of its
   server go to the current instance, released shards go to another node.
   Return whether anything changed.  */
gboolean
shard_reconcile (struct shard_map *map, const struct shard_owner *owner)
{
  const struct grant *grant = owner->grant;
  const struct candidate *self
      = shard_find_candidate (owner->candidates, owner->node_name);
  gboolean changed = FALSE;
  guint i;

  split_surrendered (map, grant);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->state == SHARD_FREE
          || strcmp (shard->owner, owner->node_name) != 0
          || !server_instance_is_set (&grant->instance))
        continue;
      if (server_instance_equal (&shard->instance, &grant->instance))
        changed = reconcile_shard (map, shard, owner) || changed;
      else if (grant->heartbeat_received
               && shard->instance.started_at_msec
                      < grant->instance.started_at_msec)
        {
          if (self != NULL && shard->next_owner[0] == '\0')
            shard_assign (map, shard, self, "");
          else
            pass_on (map, shard, owner, "");
          changed = TRUE;
        }
    }
  if (changed && owner->is_evacuated)
    shard_place_unowned (map, owner->candidates, G_MININT64);
  if (changed)
    shard_map_merge (map);
  return changed;
}

/* Return whether the map lets the known instance of the server hold SHARD.  */
static gboolean
is_held_here (const struct shard *shard, const struct shard_owner *owner)
{
  return shard->state == SHARD_HELD
         && strcmp (shard->owner, owner->node_name) == 0
         && server_instance_equal (&shard->instance, &owner->grant->instance);
}

/* Add SHARD to the ranges of ANSWER.  Extend the previous range if fence and
   handover token allow it.  */
static void
add_range (struct heartbeat_answer *answer, const struct shard *shard,
           const char *token)
{
  struct key_range *previous = answer->range_count > 0
                                   ? &answer->ranges[answer->range_count - 1]
                                   : NULL;
  struct key_range *range;

  if (previous != NULL && previous->last + 1 == shard->first
      && previous->fence == shard->fence && previous->handover_token[0] == '\0'
      && token[0] == '\0')
    {
      previous->last = shard->last;
      return;
    }
  if (answer->range_count >= ANSWER_RANGES_MAX)
    return;
  range = &answer->ranges[answer->range_count++];
  range->first = shard->first;
  range->last = shard->last;
  range->fence = shard->fence;
  g_strlcpy (range->handover_token, token, sizeof range->handover_token);
}

/* Fill ANSWER with the ranges that the server is to hold.  */
void
shard_ranges_to_hold (const struct shard_map *map,
                      const struct shard_owner *owner,
                      struct heartbeat_answer *answer)
{
  guint i;

  answer->range_count = 0;
  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      if (!is_held_here (shard, owner) || must_release (shard, owner))
        continue;
      add_range (answer, shard,
                 grant_includes (owner->grant, shard) ? ""
                                                      : shard->handover_token);
    }
}

/* Append to PIECES, an array of struct lease_piece whose tokens point into
   MAP, what is to be done with each shard of MAP that the server is granted by
   calls.  */
void
shard_lease_pieces (const struct shard_map *map,
                    const struct shard_owner *owner, GArray *pieces)
{
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      struct lease_piece piece = { shard->first, shard->last, shard->fence,
                                   shard->handover_token, FALSE };
      if (!is_held_here (shard, owner))
        continue;
      piece.release = must_release (shard, owner);
      g_array_append_val (pieces, piece);
    }
}

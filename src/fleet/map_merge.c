#include "fleet/map_merge.h"

#include <string.h>

/* Return whether A is a later state than B of the same keys.  A loss says
   something only of the holder under the same fence.  Between two states with
   the same numbers lies at most a release.  */
static gboolean
is_later (const struct shard *a, const struct shard *b)
{
  if (a->fence != b->fence)
    return a->fence > b->fence;
  if (a->loss_id != b->loss_id)
    return a->loss_id > b->loss_id;
  return a->state == SHARD_FREE && b->state != SHARD_FREE;
}

/* Return whether A and B give the same keys to two owners under the same
   fence: two maps were made from the same one, and both were appended, in
   different eras.  */
static gboolean
is_conflict (const struct shard *a, const struct shard *b)
{
  return a->fence == b->fence && strcmp (a->owner, b->owner) != 0;
}

/* Return the later state of OLD, which is known, and NEW, which is stored.
   Keys that both give to different owners are free, so that the next owner
   gets them under a fence above that of either.  */
static struct shard
merge_shard (const struct shard *old, const struct shard *new)
{
  struct shard shard = is_later (old, new) ? *old : *new;

  if (!is_conflict (old, new))
    return shard;
  shard.state = SHARD_FREE;
  shard.next_owner = "";
  shard.handover_token[0] = '\0';
  return shard;
}

/* Set MERGED to the later state of each key in KNOWN, the map that this node
   knows, and STORED, the store's record; the caller clears it.  MERGED is
   ahead of the store if it has anything from KNOWN.  */
void
map_merge (const struct shard_map *known, const struct shard_map *stored,
           struct shard_map *merged)
{
  guint32 first = 0;
  guint i = 0;
  guint k = 0;

  *merged = *stored;
  merged->shards = g_array_new (FALSE, TRUE, sizeof (struct shard));
  merged->next_fence = MAX (known->next_fence, stored->next_fence);
  merged->is_ahead = FALSE;
  while (first < SHARD_KEY_COUNT)
    {
      const struct shard *old = shard_map_at (known, k);
      const struct shard *new = shard_map_at (stored, i);
      struct shard shard = merge_shard (old, new);
      merged->is_ahead
          = merged->is_ahead || is_later (old, new)
            || (is_conflict (old, new) && new->state != SHARD_FREE);
      shard.first = first;
      shard.last = MIN (old->last, new->last);
      first = shard.last + 1;
      k += old->last < first;
      i += new->last < first;
      g_array_append_val (merged->shards, shard);
    }
  shard_map_merge (merged);
}

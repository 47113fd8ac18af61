#ifndef TESTS_KEYS_REPLAY_RUN_H
#define TESTS_KEYS_REPLAY_RUN_H

#include "tests/keys_replay.h"

/* Plan handoffs at the heartbeat of owner K.  */
static inline void
keys_heartbeat (struct keys_replay *replay, guint k)
{
  struct keys_owner *owner = &replay->owners[k];
  struct mesh *mesh = &owner->mesh;
  struct shard_map grantable = { 0 };

  owner->heartbeat_at += KEYS_HEARTBEAT_USEC;
  mesh->grant.last_heartbeat_at = replay->now;
  if (owner->released_at != 0)
    return;
  mesh->last_event_at = replay->now;
  shard_map_copy (&grantable, &replay->map);
  actions_remove_all (&replay->actions);
  mesh_balance (mesh, &grantable, replay->candidates, replay->now,
                &replay->actions);
  shard_map_clear (&grantable);
  if (mesh->handoffs->len > 0)
    owner->released_at = replay->now + KEYS_RELEASE_USEC;
}

/* Give the range of HANDOFF, which owner K released, to its new owner, whose
   server is granted it at its next heartbeat.  */
static inline void
keys_move (struct keys_replay *replay, guint k,
           const struct mesh_handoff *handoff)
{
  struct shard_map *map = &replay->map;
  guint to = (guint)g_ascii_strtoull (handoff->new_owner + 1, NULL, 10);
  guint32 key;
  guint i;

  shard_map_split (map, handoff->first_key);
  if (handoff->last_key + 1 < SHARD_KEY_COUNT)
    shard_map_split (map, handoff->last_key + 1);
  for (i = 0; i < map->shards->len; i++)
    {
      struct shard *shard = shard_map_at (map, i);
      if (shard->first < handoff->first_key || shard->last > handoff->last_key)
        continue;
      shard->owner = g_intern_string (handoff->new_owner);
      g_strlcpy (shard->instance.id, handoff->new_owner,
                 sizeof shard->instance.id);
      shard->fence = map->next_fence;
    }
  map->next_fence++;
  shard_map_merge (map);
  for (key = handoff->first_key; key <= handoff->last_key; key++)
    if (replay->owner_of[key] == k)
      {
        replay->owner_of[key] = (guint8)to;
        replay->held_from[key] = replay->owners[to].heartbeat_at;
      }
  replay->moves++;
}

/* Write the map with the keys that owner K has released.  */
static inline void
keys_append (struct keys_replay *replay, guint k)
{
  struct mesh *mesh = &replay->owners[k].mesh;
  guint i;

  if (replay->now < replay->last_append_at + KEYS_APPEND_USEC)
    return;
  for (i = 0; i < mesh->handoffs->len; i++)
    keys_move (replay, k,
               &g_array_index (mesh->handoffs, struct mesh_handoff, i));
  g_array_set_size (mesh->handoffs, 0);
  replay->owners[k].released_at = 0;
  replay->last_append_at = replay->now;
  replay->maps++;
  for (i = 0; i < KEYS_OWNERS; i++)
    {
      struct mesh *other = &replay->owners[i].mesh;
      other->map_received_at[other->maps_received++ % MESH_MAP_TIMES]
          = replay->now;
    }
}

/* Let the time pass at owner K.  */
static inline void
keys_run_owner (struct keys_replay *replay, guint k)
{
  static const guint distances[] = { 1, 2, 4, 8, 16, 32 };
  struct keys_owner *owner = &replay->owners[k];
  guint i;

  if (replay->now >= owner->next_slow_at)
    {
      owner->slow_until = replay->now + KEYS_SLOW_USEC;
      owner->next_slow_at
          = owner->slow_until
            + (gint64)keys_exponential (replay, KEYS_SLOW_GAP_USEC);
    }
  key_rate_decay (&owner->mesh.key_rate, replay->now);
  if (replay->now >= owner->heartbeat_at)
    keys_heartbeat (replay, k);
  if (owner->released_at != 0 && replay->now >= owner->released_at)
    keys_append (replay, k);
  if (replay->now < owner->gossip_at)
    return;
  owner->gossip_at += KEYS_GOSSIP_USEC;
  for (i = 0; i < G_N_ELEMENTS (distances); i++)
    {
      guint other = (k + distances[i]) % KEYS_ENTRIES;
      if (other >= KEYS_OWNERS)
        continue;
      keys_report (replay, k, other);
      keys_report (replay, other, k);
    }
}

/* Return the work of the busiest owner by its speed in multiples of the mean.
   Start new windows: long ones if IS_LONG.  */
static inline gdouble
keys_close_window (struct keys_replay *replay, gboolean is_long)
{
  gdouble sum = 0;
  gdouble most = 0;
  guint k;

  for (k = 0; k < KEYS_OWNERS; k++)
    {
      struct keys_owner *owner = &replay->owners[k];
      gdouble *work = is_long ? &owner->work_long : &owner->work;
      sum += *work;
      most = MAX (most, *work);
      *work = 0;
    }
  return sum > 0 ? most * KEYS_OWNERS / sum : 0;
}

/* Return the work of the owner whose speed changed in multiples of the mean,
   in the present long window.  */
static inline gdouble
keys_share (const struct keys_replay *replay)
{
  gdouble sum = 0;
  guint k;

  for (k = 0; k < KEYS_OWNERS; k++)
    sum += replay->owners[k].work_long;
  return replay->owners[KEYS_CHANGED_OWNER].work_long * KEYS_OWNERS / sum;
}

/* Replay SECONDS with RATE requests a second, to owners of SPEEDS in turn, and
   return what is seen after the first SETTLED seconds.  The speed of one owner
   changes to SPEED_CHANGE of what it was on the way.  */
static inline struct keys_result
keys_replay_run (const gdouble *speeds, guint speed_count, guint rate,
                 guint seconds, guint settled, gdouble speed_change,
                 guint32 seed)
{
  struct keys_replay *replay = g_new0 (struct keys_replay, 1);
  struct keys_result result = { 0 };
  gint64 start = START;
  gdouble next_request = (gdouble)start;
  guint second = 0;
  guint k;

  replay->random = g_rand_new_with_seed (seed);
  replay->now = start;
  actions_init (&replay->actions);
  replay->candidates = g_array_new (FALSE, TRUE, sizeof (struct candidate));
  for (k = 0; k < KEYS_OWNERS; k++)
    {
      struct keys_owner *owner = &replay->owners[k];
      struct candidate candidate = { .weight = KEYS_SLOTS };
      keys_init_owner (replay, k);
      owner->mesh.random_count = (guint64)k * 1000 * seed;
      owner->speed = speeds[k % speed_count];
      owner->heartbeat_at
          = start + g_rand_int_range (replay->random, 0, KEYS_HEARTBEAT_USEC);
      owner->gossip_at
          = start + g_rand_int_range (replay->random, 0, KEYS_GOSSIP_USEC);
      owner->next_slow_at
          = start + (gint64)keys_exponential (replay, KEYS_SLOW_GAP_USEC);
      keys_name (k, candidate.node_name);
      g_array_append_val (replay->candidates, candidate);
    }
  keys_init_map (replay);
  for (; second < seconds; replay->now += KEYS_STEP_USEC)
    {
      if (replay->now == start + KEYS_CHANGE_USEC)
        replay->owners[KEYS_CHANGED_OWNER].speed *= speed_change;
      for (; next_request <= (gdouble)replay->now;
           next_request += keys_exponential (replay, 1e6 / rate))
        keys_request (replay);
      for (k = 0; k < KEYS_OWNERS; k++)
        keys_run_owner (replay, k);
      if (replay->now < start + (gint64)(second + 1) * USEC_PER_SEC)
        continue;
      second++;
      if (second <= settled)
        {
          keys_close_window (replay, FALSE);
          keys_close_window (replay, TRUE);
          result.maps = replay->maps;
          result.moves = replay->moves;
          replay->unheld = replay->requests = 0;
          continue;
        }
      result.busiest
          += keys_close_window (replay, FALSE) / (seconds - settled);
      if ((second - settled) % 5 == 0)
        result.changed += keys_share (replay) / ((seconds - settled) / 5);
      if ((second - settled) % 5 == 0)
        result.busiest_long
            += keys_close_window (replay, TRUE) / ((seconds - settled) / 5);
    }
  result.maps = replay->maps - result.maps;
  result.moves = replay->moves - result.moves;
  result.shards = replay->map.shards->len;
  result.unheld = (gdouble)replay->unheld / replay->requests;
  for (k = 0; k < KEYS_OWNERS; k++)
    mesh_clear (&replay->owners[k].mesh);
  shard_map_clear (&replay->map);
  actions_clear (&replay->actions);
  g_array_free (replay->candidates, TRUE);
  g_rand_free (replay->random);
  g_free (replay);
  return result;
}

#endif

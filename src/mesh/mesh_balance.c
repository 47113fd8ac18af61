#include "mesh/mesh_parts.h"

/* A single hot key is moved only if a request costs here at least this
   percentage of its cost at the other server: all requests for it wait during
   the move.  */
#define HOT_KEY_COST_PERCENT 250

/* A server with a lower demand, in thousandths of its capacity, moves no
   keys.  */
#define MIN_DEMAND_PERMILLE 150

#define HANDOFFS_MAX 8u /* moves planned at a time by an overloaded server */

/* Time from a handoff until the next one of a busy server, and of one that is
   merely slow.  */
#define BUSY_COOLDOWN_USEC ((gint64)700000)
#define SLOW_COOLDOWN_USEC ((gint64)3000000)

/* No handoff is planned if the last MESH_MAP_TIMES maps arrived in less time
   than this.  */
#define MIN_MAPS_USEC ((gint64)1000000)

#define MAX_SHARDS 300u /* maps with more shards are not balanced */

/* A key with at least one part in this many of the requests of this server is
   moved alone, to the server where its requests cost least: moving a range
   without it does not help.  */
#define HOT_KEY_DIVISOR 3u

/* Return the run time by which demand is estimated: a mean over some seconds,
   as soon as there is one.  A machine that is slow for 0.4 s does not change
   it much, and the move of its keys would take longer.  */
static gint64
demand_run_usec (const struct mesh *mesh)
{
  return mesh->even_keys.run_usec > 0 ? mesh->even_keys.run_usec
                                      : run_times_mean (&mesh->run_times);
}

/* Return the demand of RATE requests per second on the local server in
   thousandths of its capacity, from their mean run time, or from its limit or
   its rate while it is cold if that is less.  */
static guint32
demand_of_rate (const struct mesh *mesh, guint32 rate)
{
  const struct admission *admission = &mesh->admission;

  if (admission->slots == 0)
    return 0;
  return MAX (
      (guint32)((guint64)rate * (guint64)demand_run_usec (mesh)
                / ((guint64)admission->slots * USEC_PER_MSEC)),
      MAX (server_limit_demand (&admission->limit, rate),
           warmup_demand (&admission->warmup, rate, mesh->last_event_at)));
}

/* Return the demand on the local server in thousandths of its capacity, by the
   present rate of the requests for its keys.  */
guint32
mesh_demand (const struct mesh *mesh)
{
  return demand_of_rate (mesh, key_rate_total (&mesh->key_rate));
}

/* Return the demand on the local server by the rate over some seconds.  */
guint32
mesh_mean_own_demand (const struct mesh *mesh)
{
  return demand_of_rate (mesh, even_keys_rate (&mesh->even_keys));
}

/* Return whether SHARD is owned by this node and has no next owner yet.  */
static gboolean
is_own (const struct mesh *mesh, const struct shard *shard)
{
  return shard->state == SHARD_HELD && shard->next_owner[0] == '\0'
         && strcmp (shard->owner, mesh->settings.name) == 0;
}

/* Return the range of this node's shards in MAP that is to move for about RATE
   requests per second; its last key is below its first if there is none.  A
   whole shard is preferred, since its move adds no shards to the map, else the
   shortest range.  */
static struct key_rate_range
find_range (const struct mesh *mesh, const struct shard_map *map, guint32 rate)
{
  struct key_rate_range best = { 1, 0 };
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      struct key_rate_range range;
      if (!is_own (mesh, shard))
        continue;
      if (key_rate_matches_shard (&mesh->key_rate, shard, rate))
        return (struct key_rate_range){ shard->first, shard->last };
      range = key_rate_find_range (&mesh->key_rate, shard, rate);
      if (range.last >= range.first
          && (best.last < best.first
              || range.last - range.first < best.last - best.first))
        best = range;
    }
  return best;
}

/* Return the key of this node in MAP with the most requests; SHARD_KEY_COUNT
   if it owns no key.  */
static guint32
busiest_key (const struct mesh *mesh, const struct shard_map *map)
{
  guint32 best = SHARD_KEY_COUNT;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      guint32 key;
      if (!is_own (mesh, shard))
        continue;
      key = key_rate_busiest (&mesh->key_rate, shard);
      if (best == SHARD_KEY_COUNT
          || key_rate_of (&mesh->key_rate, key)
                 > key_rate_of (&mesh->key_rate, best))
        best = key;
    }
  return best;
}

/* Plan the handoff of the keys FIRST to LAST, which get RATE requests per
   second, to RECEIVER.  LOAD is the load of this server, towards which the
   keys stop counting, and MEAN_DEMAND the mean demand of all owners.  */
static void
plan_handoff (struct mesh *mesh, const struct mesh_receiver *receiver,
              guint32 first, guint32 last, guint32 rate,
              const struct load_report *load, gint64 mean_demand, gint64 now,
              struct actions *out)
{
  guint32 total_rate = key_rate_total (&mesh->key_rate);

  mesh_handoff_add (mesh, first, last, receiver->member->name, now);
  mesh_log (out, LOG_EVENT_MESH_BALANCE, receiver->member->name,
            "first=%u last=%u demand=%u own_mean=%u mean=%" G_GINT64_FORMAT
            " run_ms=%" G_GINT64_FORMAT
            " other=%u other_run_ms=%" G_GINT64_FORMAT
            " gap_ms=%" G_GINT64_FORMAT " rate=%u of=%u",
            first, last, load->demand_permille, mesh_mean_own_demand (mesh),
            mean_demand, load->mean_run_usec / USEC_PER_MSEC,
            receiver->reported_load.demand_permille,
            receiver->reported_load.mean_run_usec / USEC_PER_MSEC,
            receiver->unheld_usec / USEC_PER_MSEC, rate, total_rate);
  key_rate_reset (&mesh->key_rate, first, last);
  even_keys_moved (&mesh->even_keys,
                   total_rate - key_rate_total (&mesh->key_rate));
}

/* Plan the handoff of a hot key that keeps this server busy, whose load is
   LOAD, to a server where its requests cost less.  MEAN_DEMAND is the mean
   demand of all owners.  Return whether a handoff was planned.  */
static gboolean
hand_off_hot_key (struct mesh *mesh, const struct shard_map *map,
                  const GArray *candidates, const struct load_report *load,
                  gint64 mean_demand, gint64 now, struct actions *out)
{
  guint32 key = busiest_key (mesh, map);
  guint32 rate
      = key < SHARD_KEY_COUNT ? key_rate_of (&mesh->key_rate, key) : 0;
  struct mesh_receiver receiver;

  if (rate < MESH_MIN_MOVE_RATE
      || rate < key_rate_total (&mesh->key_rate) / HOT_KEY_DIVISOR)
    return FALSE;
  receiver = mesh_receiver_of_key (mesh, candidates, map, load->mean_run_usec,
                                   rate, now);
  if (receiver.member == NULL
      || mesh_request_cost (load->mean_run_usec, load->demand_permille,
                            load->failed_permille)
                 * 100
             < mesh_receiver_cost (&receiver, load->mean_run_usec, rate)
                   * HOT_KEY_COST_PERCENT)
    return FALSE;
  plan_handoff (mesh, &receiver, key, key, rate, load, mean_demand, now, out);
  return TRUE;
}

/* Plan the handoff of a range of keys from this server, whose load is LOAD, to
   one with less demand, if this one has much more than MEAN_DEMAND, the mean
   of all owners.  Return whether a handoff was planned.  */
static gboolean
hand_off_range (struct mesh *mesh, const struct shard_map *map,
                const GArray *candidates, const struct load_report *load,
                gint64 mean_demand, gint64 now, struct actions *out)
{
  struct mesh_receiver receiver
      = mesh_receiver_of_range (mesh, candidates, map, mean_demand, now);
  struct key_rate_range range;
  guint32 rate;

  if (receiver.member == NULL)
    return FALSE;
  rate = mesh_rate_to_move (mesh, &receiver, load, mean_demand);
  if (rate == 0)
    return FALSE;
  range = find_range (mesh, map, rate);
  if (range.last < range.first)
    return FALSE;
  plan_handoff (mesh, &receiver, range.first, range.last, rate, load,
                mean_demand, now, out);
  return TRUE;
}

/* Return whether maps are written so often that the append of another map
   would conflict.  Its keys would have no holder until it succeeded.  */
static gboolean
is_map_contended (const struct mesh *mesh, gint64 now)
{
  return mesh->maps_received >= MESH_MAP_TIMES
         && now - mesh->map_received_at[mesh->maps_received % MESH_MAP_TIMES]
                < MIN_MAPS_USEC;
}

/* Return whether this node can write a map soon.  Keys that its server
   released earlier would have no holder until then.  */
static gboolean
can_write_map (const struct mesh *mesh)
{
  return !mesh->proposal.is_pending && !mesh->store_lost;
}

/* Plan one handoff of keys that this node owns in MAP.  Return whether one was
   planned.  */
static gboolean
plan_one (struct mesh *mesh, const struct shard_map *map,
          const GArray *candidates, gint64 now, struct actions *out)
{
  struct load_report load = mesh_load_report (mesh, now);
  gint64 mean_demand;

  /* A machine is slow for a shorter time than a move takes, so a slowdown that
     the mean run time does not show yet is no cause for a move.  */
  load.mean_run_usec
      = MIN (load.mean_run_usec, run_times_route_average (&mesh->run_times));
  if (load.demand_permille < MIN_DEMAND_PERMILLE || load.slots == 0
      || load.mean_run_usec == 0)
    return FALSE;
  mean_demand = mesh_mean_demand (mesh, candidates, now);
  return (load.demand_permille >= MESH_BUSY_PERMILLE
          && hand_off_hot_key (mesh, map, candidates, &load, mean_demand, now,
                               out))
         || hand_off_range (mesh, map, candidates, &load, mean_demand, now,
                            out);
}

/* Plan the handoff of keys that this node owns in MAP to those of CANDIDATES
   with less demand.  This is done at a heartbeat, whose answer leaves the
   keys out, or which is followed by their release.  */
void
mesh_balance (struct mesh *mesh, const struct shard_map *map,
              const GArray *candidates, gint64 now, struct actions *out)
{
  guint32 demand = mesh_demand (mesh);
  guint planned = 0;

  even_keys_update (&mesh->even_keys, key_rate_total (&mesh->key_rate),
                    run_times_mean (&mesh->run_times), now);
  if (now < mesh->balance_paused_until || is_map_contended (mesh, now)
      || !can_write_map (mesh) || map->shards->len > MAX_SHARDS)
    return;
  while (planned < HANDOFFS_MAX
         && (planned == 0 || mesh_demand (mesh) > MESH_OVERLOAD_PERMILLE)
         && plan_one (mesh, map, candidates, now, out))
    planned++;
  if (planned > 0)
    mesh->balance_paused_until
        = now
          + (demand >= MESH_BUSY_PERMILLE ? BUSY_COOLDOWN_USEC
                                          : SLOW_COOLDOWN_USEC);
}

#include "mesh/mesh_parts.h"

/* Keys are moved where a request costs so many percent of what it does at the
   other server, and more where this one is merely slow: mean run times differ
   by chance, and a move interrupts its keys for a beat.  */
#define GAP_BUSY_PERCENT 130
#define GAP_SLOW_PERCENT 170

/* The same for a single hot key: all of its requests wait while it moves.  */
#define GAP_HOT_PERCENT 250

/* Keys that ask for less of this server than this, in thousandths of what it
   can do, are not worth a move.  */
#define LEAST_PERMILLE 150

/* The greatest part of what this server does that one move takes away is one
   half; where that would be too much for the other one, it is as small as one
   in PART_MAX.  */
#define PART_MAX 16u

#define BUSY_REST_USEC ((gint64)700000)  /* after a move */
#define SLOW_REST_USEC ((gint64)3000000) /* after one from a slow server */
#define MAPS_USEC ((gint64)1000000)      /* for MESH_MAP_TIMES maps at least */
#define BALANCE_SHARDS_MAX 300u          /* a map with more is left alone */
#define RATE_LEAST 3u                    /* requests a second worth it */

/* A key that makes up one part in so many of what this server does is moved by
   itself, to where it can best be served: no range without it helps.  */
#define HOT_PART 3u

/* What the server here has to do, in thousandths of what it can.  */
guint32
mesh_demand (const struct mesh *mesh)
{
  const struct admission *admission = &mesh->admission;

  if (admission->slots == 0)
    return 0;
  return (guint32)((guint64)key_rate_total (&mesh->key_rate)
                   * (guint64)run_times_mean (&mesh->run_times)
                   / ((guint64)admission->slots * USEC_PER_MSEC));
}

/* Tell whether SHARD is this node's to give away.  */
static gboolean
is_own (const struct mesh *mesh, const struct shard *shard)
{
  return shard->state == SHARD_HELD && shard->next_owner[0] == '\0'
         && strcmp (shard->owner, mesh->settings.name) == 0;
}

/* The shortest range of this node's shards in MAP that is asked for about RATE
   times a second; its last key is below its first if there is none.  */
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
      range = key_rate_find_range (&mesh->key_rate, shard, rate);
      if (range.last >= range.first
          && (best.last < best.first
              || range.last - range.first < best.last - best.first))
        best = range;
    }
  return best;
}

/* The requests a second that TAKER is to be given of the RATE that this node
   has, whose load is LOAD; 0 if it is not better off with any.  */
static guint32
rate_for (const struct mesh_receiver *taker, const struct load_report *load,
          guint32 rate)
{
  gint64 run = load->mean_run_usec;
  gint64 price = mesh_demand_per_rate (load, run);
  gint64 own = load->demand_permille;
  gint64 gap = own >= MESH_BUSY_PERMILLE ? GAP_BUSY_PERCENT : GAP_SLOW_PERCENT;
  guint32 part;

  if (mesh_request_cost (run, own, load->failed_permille) * 100
      < mesh_receiver_cost (taker, run, 0) * gap)
    return 0;
  for (part = 2; part <= PART_MAX && rate / part >= RATE_LEAST; part *= 2)
    {
      guint32 moved = rate / part;
      if (mesh_receiver_cost (taker, run, moved) <= mesh_request_cost (
              run, own - moved * price / USEC_PER_MSEC, load->failed_permille))
        return moved;
    }
  return 0;
}

/* The key of this node in MAP that is asked for most; SHARD_KEY_COUNT if it
   has none.  */
static guint32
hottest_key (const struct mesh *mesh, const struct shard_map *map)
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

/* Offer the keys FIRST to LAST, which are asked for RATE times a second, to
   TAKER.  They are this server's no more.  */
static void
offer (struct mesh *mesh, const struct mesh_receiver *taker, guint32 first,
       guint32 last, guint32 rate, const struct load_report *load, gint64 now,
       struct actions *out)
{
  mesh_handoff_add (mesh, first, last, taker->member->name, now);
  mesh_log (out, LOG_EVENT_MESH_BALANCE, taker->member->name,
            "first=%u last=%u demand=%u run_ms=%" G_GINT64_FORMAT
            " other=%u other_run_ms=%" G_GINT64_FORMAT
            " gap_ms=%" G_GINT64_FORMAT " rate=%u of=%u",
            first, last, load->demand_permille,
            load->mean_run_usec / USEC_PER_MSEC,
            taker->reported_load.demand_permille,
            taker->reported_load.mean_run_usec / USEC_PER_MSEC,
            taker->unheld_usec / USEC_PER_MSEC, rate,
            key_rate_total (&mesh->key_rate));
  key_rate_reset (&mesh->key_rate, first, last);
}

/* Offer a key that alone keeps this server busy, which has LOAD, to one that
   serves it better.  Return whether there are such a key and server.  */
static gboolean
offer_hot_key (struct mesh *mesh, const struct shard_map *map,
               const GArray *holders, const struct load_report *load,
               gint64 now, struct actions *out)
{
  guint32 key = hottest_key (mesh, map);
  guint32 rate
      = key < SHARD_KEY_COUNT ? key_rate_of (&mesh->key_rate, key) : 0;
  struct mesh_receiver taker;

  if (rate < RATE_LEAST || rate < key_rate_total (&mesh->key_rate) / HOT_PART)
    return FALSE;
  taker = mesh_receiver_choose (mesh, holders, map, TRUE, load->mean_run_usec,
                                rate, now);
  if (taker.member == NULL
      || mesh_request_cost (load->mean_run_usec, load->demand_permille,
                            load->failed_permille)
                 * 100
             < mesh_receiver_cost (&taker, load->mean_run_usec, rate)
                   * GAP_HOT_PERCENT)
    return FALSE;
  offer (mesh, &taker, key, key, rate, load, now, out);
  return TRUE;
}

/* Offer a range of keys that asks for some of what this server has to do by
   LOAD to one where they cost less.  Return whether there are such a range and
   server.  */
static gboolean
offer_range (struct mesh *mesh, const struct shard_map *map,
             const GArray *holders, const struct load_report *load, gint64 now,
             struct actions *out)
{
  guint32 all = key_rate_total (&mesh->key_rate);
  struct mesh_receiver taker = mesh_receiver_choose (
      mesh, holders, map, FALSE, load->mean_run_usec, 0, now);
  struct key_rate_range range;
  guint32 rate;

  if (taker.member == NULL)
    return FALSE;
  rate = rate_for (&taker, load, all);
  if (rate == 0)
    return FALSE;
  range = find_range (mesh, map, rate);
  if (range.last < range.first)
    return FALSE;
  offer (mesh, &taker, range.first, range.last, rate, load, now, out);
  return TRUE;
}

/* Tell whether maps are written so often that another writer would meet them:
   its keys would have no holder until it had its turn.  */
static gboolean
is_crowded (const struct mesh *mesh, gint64 now)
{
  return mesh->maps_received >= MESH_MAP_TIMES
         && now - mesh->map_received_at[mesh->maps_received % MESH_MAP_TIMES]
                < MAPS_USEC;
}

/* Tell whether this node can write a map soon: what it gives up before it can
   is held by nobody meanwhile.  */
static gboolean
can_write (const struct mesh *mesh)
{
  return !mesh->proposal.is_pending && !mesh->store_lost;
}

/* Offer keys that this node shares with HOLDERS by MAP to another where they
   cost less.  This is done at a beat, whose answer leaves them out.  */
void
mesh_balance (struct mesh *mesh, const struct shard_map *map,
              const GArray *holders, gint64 now, struct actions *out)
{
  struct load_report load = mesh_load_report (mesh, now);
  gboolean busy = load.demand_permille >= MESH_BUSY_PERMILLE;

  if (now < mesh->balance_paused_until || is_crowded (mesh, now)
      || !can_write (mesh) || load.demand_permille < LEAST_PERMILLE
      || load.slots == 0 || load.mean_run_usec == 0
      || map->shards->len > BALANCE_SHARDS_MAX)
    return;
  if ((busy && offer_hot_key (mesh, map, holders, &load, now, out))
      || offer_range (mesh, map, holders, &load, now, out))
    mesh->balance_paused_until
        = now + (busy ? BUSY_REST_USEC : SLOW_REST_USEC);
}

#include "mesh/mesh_parts.h"

/* What a request costs at a server is its run time, and more where the server
   has more than BUSY_PERMILLE of what it can to do: there requests come to
   wait, each thousandth adds COST_SLOPE of them.  So keys go from slow servers
   to fast ones while those have room, and from busy ones to others.  */
#define BUSY_PERMILLE 500
#define COST_SLOPE 6

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

#define BALANCE_EVERY_USEC ((gint64)250000) /* between looks */
#define BALANCE_REST_USEC ((gint64)1100000) /* after a move */
#define SLOW_REST_USEC ((gint64)3000000)    /* after one from a slow server */
#define BALANCE_SHARDS_MAX 300u             /* a map with more is left alone */
#define BALANCE_MOVES_MAX 4u                /* ranges offered at a time */
#define RATE_LEAST 3u                       /* requests a second worth it */

/* A key that makes up one part in so many of what this server does is moved by
   itself, to where it can best be served: no range without it helps.  */
#define HOT_PART 3u

/* A server that keys may go to.  */
struct balance_taker
{
  const struct fleet_member *member; /* its node, NULL for none */
  struct load_report load;           /* as it said last */
};

/* What the server here has to do, in thousandths of what it can.  */
guint32
mesh_demand (const struct mesh *mesh)
{
  const struct gate *gate = &mesh->gate;

  if (gate->slots == 0)
    return 0;
  return (guint32)((guint64)heat_rate (&mesh->heat)
                   * (guint64)run_times_mean (&mesh->run_times)
                   / ((guint64)gate->slots * USEC_PER_MSEC));
}

/* The thousandths of what a server can do that one request a second takes,
   times a thousand.  */
static gint64
price_of_rate (const struct load_report *load, gint64 run_otherwise)
{
  gint64 run = load->run_usec > 0 ? load->run_usec : run_otherwise;

  return MAX (1, run / MAX (1, (gint64)load->slots));
}

/* Tell whether this node has offered keys to the node NAME.  */
static gboolean
is_offered_to (const struct mesh *mesh, const char *name)
{
  guint i;

  for (i = 0; i < mesh->offers->len; i++)
    if (strcmp (g_array_index (mesh->offers, struct mesh_offer, i).next, name)
        == 0)
      return TRUE;
  return FALSE;
}

/* Tell whether the holder at I may be given more.  */
static gboolean
may_take (struct mesh *mesh, const GArray *holders, guint i,
          const struct shard_map *map, struct balance_taker *taker)
{
  const struct holder *holder = &g_array_index (holders, struct holder, i);
  struct handle h = roster_find (&mesh->roster, holder->name);
  const struct upstream *upstream = table_get (&mesh->upstreams, h);

  if (upstream == NULL || upstream->load_at == 0 || upstream->load.slots == 0
      || shard_is_receiving (map, holder->name)
      || is_offered_to (mesh, holder->name))
    return FALSE;
  taker->member = roster_member_at (&mesh->roster, h);
  taker->load = upstream->load;
  return TRUE;
}

/* What a request costs that runs for RUN_USEC at a server that has DEMAND to
   do, in thousandths of what it can, and fails FAILING of a thousand.  */
static gint64
cost_at (gint64 run_usec, gint64 demand, guint32 failing)
{
  gint64 cost = run_usec
                * (1000 + COST_SLOPE * MAX (0, demand - BUSY_PERMILLE)) / 1000;

  return cost + cost * failing * LOAD_FAILING_WEIGHT / 1000;
}

/* Who is to take keys: of two drawn at random from those that may, the one
   where a request costs less.  Nodes that give at the same time would all
   choose the same.  */
static struct balance_taker
draw_taker (struct mesh *mesh, const GArray *holders,
            const struct shard_map *map)
{
  struct balance_taker best = { 0 };
  guint start
      = holders->len > 0
            ? (guint)(++mesh->draws * 2654435761u % 65521u % holders->len)
            : 0;
  guint drawn = 0;
  guint i;

  for (i = 0; i < holders->len && drawn < 2; i++)
    {
      struct balance_taker taker;
      if (!may_take (mesh, holders, (start + i) % holders->len, map, &taker))
        continue;
      drawn++;
      if (best.member == NULL
          || cost_at (taker.load.run_usec, taker.load.demand,
                      taker.load.failing)
                 < cost_at (best.load.run_usec, best.load.demand,
                            best.load.failing))
        best = taker;
    }
  return best;
}

/* Tell whether SHARD is this node's to give away.  */
static gboolean
is_own (const struct mesh *mesh, const struct shard *shard)
{
  return shard->state == SHARD_HELD && shard->next[0] == '\0'
         && strcmp (shard->owner, mesh->settings.name) == 0;
}

/* Have the range of this node's shards in MAP that is asked for about RATE
   times a second, and is shortest, go to NEXT.  */
static gboolean
give (struct mesh *mesh, struct shard_map *map, const char *next, guint32 rate,
      gint64 now)
{
  struct heat_range best = { 1, 0 };
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      struct heat_range range;
      if (!is_own (mesh, shard))
        continue;
      range = heat_find (&mesh->heat, shard, rate);
      if (range.last >= range.first
          && (best.last < best.first
              || range.last - range.first < best.last - best.first))
        best = range;
    }
  if (best.last < best.first)
    return FALSE;
  mesh_offer_add (mesh, best.first, best.last, next, now);
  return TRUE;
}

/* The requests a second that TAKER is to be given of the RATE that this node
   has, whose load is LOAD; 0 if it is not better off with any.  */
static guint32
rate_for (const struct balance_taker *taker, const struct load_report *load,
          guint32 rate)
{
  gint64 run = load->run_usec;
  gint64 other_run = taker->load.run_usec > 0 ? taker->load.run_usec : run;
  gint64 price = price_of_rate (load, run);
  gint64 other_price = price_of_rate (&taker->load, run);
  gint64 own = load->demand;
  gint64 other = taker->load.demand;
  gint64 gap = own >= BUSY_PERMILLE ? GAP_BUSY_PERCENT : GAP_SLOW_PERCENT;
  guint32 part;

  if (cost_at (run, own, load->failing) * 100
      < cost_at (other_run, other, taker->load.failing) * gap)
    return 0;
  for (part = 2; part <= PART_MAX && rate / part >= RATE_LEAST; part *= 2)
    {
      gint64 moved = rate / part;
      if (cost_at (other_run, other + moved * other_price / USEC_PER_MSEC,
                   taker->load.failing)
          <= cost_at (run, own - moved * price / USEC_PER_MSEC, load->failing))
        return (guint32)moved;
    }
  return 0;
}

/* What a request costs at TAKER once it has RATE more of them a second; RUN is
   its run time where that is not known.  */
static gint64
cost_with (const struct balance_taker *taker, gint64 run, guint32 rate)
{
  gint64 price = price_of_rate (&taker->load, run);
  gint64 other_run = taker->load.run_usec > 0 ? taker->load.run_usec : run;

  return cost_at (other_run,
                  taker->load.demand + (gint64)rate * price / USEC_PER_MSEC,
                  taker->load.failing);
}

/* The server among HOLDERS where requests that come RATE times a second cost
   least.  */
static struct balance_taker
best_taker (struct mesh *mesh, const GArray *holders,
            const struct shard_map *map, gint64 run, guint32 rate)
{
  struct balance_taker best = { 0 };
  guint i;

  for (i = 0; i < holders->len; i++)
    {
      struct balance_taker taker;
      if (may_take (mesh, holders, i, map, &taker)
          && (best.member == NULL
              || cost_with (&taker, run, rate) < cost_with (&best, run, rate)))
        best = taker;
    }
  return best;
}

/* The key of this node in MAP that is asked for most; SHARD_KEYS if it has
   none.  */
static guint32
hottest_key (const struct mesh *mesh, const struct shard_map *map)
{
  guint32 best = SHARD_KEYS;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      const struct shard *shard = shard_map_at (map, i);
      guint32 key;
      if (!is_own (mesh, shard))
        continue;
      key = heat_hottest (&mesh->heat, shard);
      if (best == SHARD_KEYS
          || heat_of (&mesh->heat, key) > heat_of (&mesh->heat, best))
        best = key;
    }
  return best;
}

/* Offer a key that alone keeps this server busy, which has LEFT requests a
   second by LOAD, to one that serves it better.  Return its rate, 0 if there
   is no such key or server.  */
static guint32
offer_hot_key (struct mesh *mesh, const struct shard_map *map,
               const GArray *holders, const struct load_report *load,
               guint32 left, gint64 now, struct actions *out)
{
  guint32 key = hottest_key (mesh, map);
  guint32 rate = key < SHARD_KEYS ? heat_of (&mesh->heat, key) : 0;
  struct balance_taker taker;

  if (rate < RATE_LEAST || rate < left / HOT_PART)
    return 0;
  taker = best_taker (mesh, holders, map, load->run_usec, rate);
  if (taker.member == NULL
      || cost_at (load->run_usec, load->demand, load->failing) * 100
             < cost_with (&taker, load->run_usec, rate) * GAP_HOT_PERCENT)
    return 0;
  mesh_offer_add (mesh, key, key, taker.member->name, now);
  mesh_note (out, NOTE_MESH_BALANCE, taker.member->name,
             "key=%u demand=%u run_ms=%" G_GINT64_FORMAT
             " other=%u other_run_ms=%" G_GINT64_FORMAT " rate=%u of=%u",
             key, load->demand, load->run_usec / USEC_PER_MSEC,
             taker.load.demand, taker.load.run_usec / USEC_PER_MSEC, rate,
             left);
  return MIN (rate, left);
}

/* Offer a range of keys that asks for some of the LEFT requests a second that
   this server has by LOAD to one where they cost less.  Return what it asks
   for, 0 if there is no such range or server.  */
static guint32
offer_range (struct mesh *mesh, struct shard_map *map, const GArray *holders,
             const struct load_report *load, guint32 left, gint64 now,
             struct actions *out)
{
  struct balance_taker taker = draw_taker (mesh, holders, map);
  guint32 rate;

  if (taker.member == NULL)
    return 0;
  rate = rate_for (&taker, load, left);
  if (rate == 0 || !give (mesh, map, taker.member->name, rate, now))
    return 0;
  mesh_note (out, NOTE_MESH_BALANCE, taker.member->name,
             "demand=%u run_ms=%" G_GINT64_FORMAT
             " other=%u other_run_ms=%" G_GINT64_FORMAT " rate=%u of=%u",
             load->demand, load->run_usec / USEC_PER_MSEC, taker.load.demand,
             taker.load.run_usec / USEC_PER_MSEC, rate, left);
  return rate;
}

/* Offer keys that this node shares with HOLDERS by MAP, a copy, to others
   where they cost less.  */
void
mesh_balance (struct mesh *mesh, struct shard_map *map, const GArray *holders,
              gint64 now, struct actions *out)
{
  struct load_report load = mesh_load (mesh, now);
  gboolean busy = load.demand >= BUSY_PERMILLE;
  guint32 left = heat_rate (&mesh->heat);
  guint32 moves;

  if (now < mesh->balance_at || load.demand < LEAST_PERMILLE || load.slots == 0
      || load.run_usec == 0 || map->shards->len > BALANCE_SHARDS_MAX)
    return;
  mesh->balance_at = now + BALANCE_EVERY_USEC;
  for (moves = 0; moves < (busy ? BALANCE_MOVES_MAX : 1u); moves++)
    {
      guint32 rate
          = busy ? offer_hot_key (mesh, map, holders, &load, left, now, out)
                 : 0;
      if (rate == 0)
        rate = offer_range (mesh, map, holders, &load, left, now, out);
      if (rate == 0)
        return;
      mesh->balance_at = now + (busy ? BALANCE_REST_USEC : SLOW_REST_USEC);
      load.demand -= load.demand * rate / left;
      left -= rate;
      mesh_offers_apply (mesh, map, holders, now);
    }
}

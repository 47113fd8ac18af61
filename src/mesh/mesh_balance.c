#include "mesh/mesh_parts.h"

/* Keys are moved where this server has so much more to do than another, in
   thousandths of what it can, and is itself so busy at least.  */
#define GAP_PERMILLE 150
#define BUSY_PERMILLE 450

#define BALANCE_EVERY_USEC ((gint64)250000) /* between looks */
#define BALANCE_REST_USEC ((gint64)1100000) /* after a move */
#define BALANCE_SHARDS_MAX 300u             /* a map with more is left alone */
#define RATE_LEAST 2u                       /* requests a second worth it */

/* What the server here has to do, in thousandths of what it can.  */
guint32
mesh_demand (const struct mesh *mesh)
{
  const struct gate *gate = &mesh->gate;

  if (gate->slots == 0)
    return 0;
  return (guint32)((guint64)heat_rate (&mesh->heat)
                   * (guint64)gate->pace.run_usec
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

/* The holder of the keys of this service that has least to do, or NULL.  */
static const struct fleet_member *
idlest (struct mesh *mesh, const GArray *holders, const struct shard_map *map,
        guint32 *demand, struct load_report *load)
{
  const struct fleet_member *best = NULL;
  guint i;

  for (i = 0; i < holders->len; i++)
    {
      const struct holder *holder = &g_array_index (holders, struct holder, i);
      struct handle h = roster_find (&mesh->roster, holder->name);
      const struct upstream *upstream = table_get (&mesh->upstreams, h);
      if (upstream == NULL || upstream->load.slots == 0
          || shard_is_receiving (map, holder->name)
          || (best != NULL && upstream->load.demand >= *demand))
        continue;
      best = roster_member_at (&mesh->roster, h);
      *demand = upstream->load.demand;
      *load = upstream->load;
    }
  return best;
}

/* Have the range of this node's shards in MAP that is asked for about RATE
   times a second, and is shortest, go to NEXT.  */
static gboolean
give (struct mesh *mesh, struct shard_map *map, const char *next, guint32 rate)
{
  struct heat_range best = { 1, 0 };
  struct shard *shard;
  guint i;

  for (i = 0; i < map->shards->len; i++)
    {
      struct heat_range range;
      shard = shard_map_at (map, i);
      if (shard->state != SHARD_HELD || shard->next[0] != '\0'
          || strcmp (shard->owner, mesh->settings.name) != 0)
        continue;
      range = heat_find (&mesh->heat, shard, rate);
      if (range.last >= range.first
          && (best.last < best.first
              || range.last - range.first < best.last - best.first))
        best = range;
    }
  if (best.last < best.first)
    return FALSE;
  shard_map_split (map, best.first);
  shard_map_split (map, best.last + 1);
  shard = shard_map_find (map, best.first);
  g_strlcpy (shard->next, next, sizeof shard->next);
  return shard->last == best.last;
}

/* Mark in MAP, whose keys this node shares with HOLDERS, a range that another
   is to have, if this node has much more to do.  Return whether there is
   one.  */
gboolean
mesh_balance (struct mesh *mesh, struct shard_map *map, const GArray *holders,
              gint64 now, struct actions *out)
{
  guint32 own = mesh_demand (mesh);
  struct load_report load = mesh_load (mesh, now);
  struct load_report other = { 0 };
  const struct fleet_member *member;
  guint32 demand = 0;
  guint32 rate;

  if (now < mesh->balance_at || own < BUSY_PERMILLE
      || map->shards->len > BALANCE_SHARDS_MAX)
    return FALSE;
  mesh->balance_at = now + BALANCE_EVERY_USEC;
  member = idlest (mesh, holders, map, &demand, &other);
  if (member == NULL || own < demand + GAP_PERMILLE)
    return FALSE;
  rate = (guint32)((gint64)(own - demand) * USEC_PER_MSEC
                   / (price_of_rate (&load, load.run_usec)
                      + price_of_rate (&other, load.run_usec)));
  if (rate < RATE_LEAST || !give (mesh, map, member->name, rate))
    return FALSE;
  mesh->balance_at = now + BALANCE_REST_USEC;
  mesh_note (out, NOTE_MESH_BALANCE, member->name,
             "demand=%u other=%u rate=%u of=%u", own, demand, rate,
             heat_rate (&mesh->heat));
  return TRUE;
}

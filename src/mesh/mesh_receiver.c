#include "mesh/mesh_parts.h"

/* What a request costs at a server is its run time, and more where the server
   has more than MESH_BUSY_PERMILLE of what it can to do: there requests come
   to wait, each thousandth adds COST_SLOPE of them.  So keys go from slow
   servers to fast ones while those have room, and from busy ones to others. */
#define COST_SLOPE 6

/* From a beat whose answer leaves keys out until the map names their next
   owner: the server's next beat and an append.  */
#define RELEASE_USEC ((gint64)180000)

/* Keys that nobody holds for so long while they move count as if the taker's
   requests cost twice as much.  */
#define GAP_DOUBLES_USEC ((gint64)500000)

#define DRAWS 4u /* servers that are looked at for a range */

/* What a request costs that runs for RUN_USEC at a server that has DEMAND to
   do, in thousandths of what it can, and fails FAILING of a thousand.  */
gint64
mesh_request_cost (gint64 run_usec, gint64 demand, guint32 failing)
{
  gint64 cost = run_usec
                * (1000 + COST_SLOPE * MAX (0, demand - MESH_BUSY_PERMILLE))
                / 1000;

  return cost + cost * failing * LOAD_FAILURE_WEIGHT / 1000;
}

/* The thousandths of what a server can do that one request a second takes,
   times a thousand; RUN_OTHERWISE is its run time where that is not known. */
gint64
mesh_demand_per_rate (const struct load_report *load, gint64 run_otherwise)
{
  gint64 run = load->mean_run_usec > 0 ? load->mean_run_usec : run_otherwise;

  return MAX (1, run / MAX (1, (gint64)load->slots));
}

/* What a request costs at TAKER once it has RATE more of them a second; RUN is
   its run time where that is not known.  */
gint64
mesh_receiver_cost (const struct mesh_receiver *taker, gint64 run,
                    guint32 rate)
{
  gint64 price = mesh_demand_per_rate (&taker->reported_load, run);
  gint64 other_run = taker->reported_load.mean_run_usec > 0
                         ? taker->reported_load.mean_run_usec
                         : run;

  return mesh_request_cost (other_run,
                            taker->reported_load.demand_permille
                                + (gint64)rate * price / USEC_PER_MSEC,
                            taker->reported_load.failed_permille);
}

/* How long keys are held by nobody that are given up at NOW, until the server
   of UPSTREAM beats and is told of them.  */
static gint64
gap_to (const struct mesh *mesh, const struct peer_state *peer_state,
        gint64 now)
{
  gint64 heartbeat = MAX (1, mesh->settings.heartbeat_usec);
  gint64 next = peer_state->load_reported_at
                + (gint64)peer_state->load.next_heartbeat_msec * USEC_PER_MSEC;
  gint64 earliest = now + RELEASE_USEC;

  if (next < earliest)
    next += (earliest - next + heartbeat - 1) / heartbeat * heartbeat;
  return next - earliest;
}

/* Tell whether this node has offered keys to the node NAME.  */
static gboolean
is_offered_to (const struct mesh *mesh, const char *name)
{
  guint i;

  for (i = 0; i < mesh->handoffs->len; i++)
    if (strcmp (
            g_array_index (mesh->handoffs, struct mesh_handoff, i).new_owner,
            name)
        == 0)
      return TRUE;
  return FALSE;
}

/* Tell whether the holder at I may be given more.  */
static gboolean
may_take (struct mesh *mesh, const GArray *holders, guint i,
          const struct shard_map *map, gint64 now, struct mesh_receiver *taker)
{
  const struct holder *holder = &g_array_index (holders, struct holder, i);
  struct handle h = fleet_state_find (&mesh->fleet, holder->node_name);
  const struct peer_state *peer_state = table_get (&mesh->peers, h);

  if (peer_state == NULL || peer_state->load_reported_at == 0
      || peer_state->load.slots == 0
      || shard_is_receiving (map, holder->node_name)
      || is_offered_to (mesh, holder->node_name))
    return FALSE;
  taker->member = fleet_state_member_at (&mesh->fleet, h);
  taker->reported_load = peer_state->load;
  taker->unheld_usec = gap_to (mesh, peer_state, now);
  return TRUE;
}

/* What a move of keys with RATE requests a second to TAKER costs.  */
static gint64
move_cost (const struct mesh_receiver *taker, gint64 run, guint32 rate)
{
  gint64 cost = mesh_receiver_cost (taker, run, rate);

  return cost + cost * taker->unheld_usec / GAP_DOUBLES_USEC;
}

/* Who of HOLDERS is to take keys by MAP that are asked for RATE times a
   second: the one to whom the move costs least, of DRAWS that are drawn at
   random, or of ALL.  Nodes that give at the same time would all choose the
   same.  RUN is the run time where it is not known.  */
struct mesh_receiver
mesh_receiver_choose (struct mesh *mesh, const GArray *holders,
                      const struct shard_map *map, gboolean all, gint64 run,
                      guint32 rate, gint64 now)
{
  struct mesh_receiver best = { 0 };
  guint most = all ? holders->len : DRAWS;
  guint start = 0;
  guint drawn = 0;
  guint i;

  if (holders->len > 0)
    start = g_int_hash (&(gint){ (gint)++mesh->random_count }) * 2654435761u
            % holders->len;
  for (i = 0; i < holders->len && drawn < most; i++)
    {
      struct mesh_receiver taker;
      if (!may_take (mesh, holders, (start + i) % holders->len, map, now,
                     &taker))
        continue;
      drawn++;
      if (best.member == NULL
          || move_cost (&taker, run, rate) < move_cost (&best, run, rate))
        best = taker;
    }
  return best;
}

#include "mesh/mesh_parts.h"

/* The cost of a request at a server is its run time.  Above a demand of
   MESH_BUSY_PERMILLE requests start to queue, and each further thousandth adds
   COST_SLOPE thousandths to the cost.  So keys move from slow servers to fast
   ones while those have room, and from busy servers to others.  */
#define COST_SLOPE 6

/* Time from a heartbeat whose answer leaves keys out until the map names their
   next owner: this allows for the server's next heartbeat and an append.  */
#define RELEASE_USEC ((gint64)180000)

/* If the moved keys have no holder for this long, the cost at the receiver is
   doubled.  */
#define UNHELD_DOUBLES_USEC ((gint64)500000)

#define RANDOM_CHOICES 4u /* servers that are compared for a range */

/* Return the cost of a request that runs for RUN_USEC at a server with DEMAND,
   in thousandths of its capacity, where FAILING thousandths of the attempts
   fail.  */
gint64
mesh_request_cost (gint64 run_usec, gint64 demand, guint32 failing)
{
  gint64 cost = run_usec
                * (1000 + COST_SLOPE * MAX (0, demand - MESH_BUSY_PERMILLE))
                / 1000;

  return cost + cost * failing * LOAD_FAILURE_WEIGHT / 1000;
}

/* Return DEMAND as it counts in a comparison: higher where FAILING thousandths
   of the attempts fail.  */
gint64
mesh_weighted_demand (gint64 demand, guint32 failing)
{
  return demand + demand * failing * LOAD_FAILURE_WEIGHT / 1000;
}

/* Return the demand that one request per second puts on a server, in
   millionths of its capacity.  DEFAULT_RUN_USEC is the run time if the server
   reported none.  */
gint64
mesh_demand_per_rate (const struct load_report *load, gint64 default_run_usec)
{
  gint64 run_usec
      = load->mean_run_usec > 0 ? load->mean_run_usec : default_run_usec;

  return MAX (1, run_usec / MAX (1, (gint64)load->slots));
}

/* Return the cost of a request at RECEIVER once it gets RATE more requests per
   second.  DEFAULT_RUN_USEC is the run time if the server reported none.  */
gint64
mesh_receiver_cost (const struct mesh_receiver *receiver,
                    gint64 default_run_usec, guint32 rate)
{
  gint64 demand_per_rate
      = mesh_demand_per_rate (&receiver->reported_load, default_run_usec);
  gint64 receiver_run_usec = receiver->reported_load.mean_run_usec > 0
                                 ? receiver->reported_load.mean_run_usec
                                 : default_run_usec;

  return mesh_request_cost (receiver_run_usec,
                            receiver->reported_load.demand_permille
                                + (gint64)rate * demand_per_rate
                                      / USEC_PER_MSEC,
                            receiver->reported_load.failed_permille);
}

/* Return how long keys that are released at NOW have no holder, until the
   server of PEER sends a heartbeat and is granted them.  A server that is
   granted keys by calls need not be waited for.  */
static gint64
unheld_usec_until (const struct mesh *mesh, const struct peer_state *peer,
                   gint64 now)
{
  gint64 interval_usec = MAX (1, mesh->settings.heartbeat_usec);
  gint64 next_at = peer->load_reported_at
                   + (gint64)peer->load.next_heartbeat_msec * USEC_PER_MSEC;
  gint64 earliest_at = now + RELEASE_USEC;

  if (mesh->grant.method == GRANT_BY_CALL)
    return 0;
  if (next_at < earliest_at)
    next_at += (earliest_at - next_at + interval_usec - 1) / interval_usec
               * interval_usec;
  return next_at - earliest_at;
}

/* Return whether a handoff to the node NAME is planned.  */
static gboolean
has_handoff_to (const struct mesh *mesh, const char *name)
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

/* Return whether candidate I may be given more keys, and fill in RECEIVER for
   it.  */
static gboolean
may_receive (struct mesh *mesh, const GArray *candidates, guint i,
             const struct shard_map *map, gint64 now,
             struct mesh_receiver *receiver)
{
  const struct candidate *candidate
      = &g_array_index (candidates, struct candidate, i);
  struct handle h = fleet_state_find (&mesh->fleet, candidate->node_name);
  const struct peer_state *peer = table_get (&mesh->peers, h);

  if (peer == NULL || peer->load_reported_at == 0 || peer->load.slots == 0
      || shard_is_receiving (map, candidate->node_name)
      || has_handoff_to (mesh, candidate->node_name))
    return FALSE;
  receiver->member = fleet_state_member_at (&mesh->fleet, h);
  receiver->reported_load = peer->load;
  receiver->unheld_usec = unheld_usec_until (mesh, peer, now);
  return TRUE;
}

/* Return the cost of a move of keys with RATE requests per second to
   RECEIVER.  */
static gint64
move_cost (const struct mesh_receiver *receiver, gint64 default_run_usec,
           guint32 rate)
{
  gint64 cost = mesh_receiver_cost (receiver, default_run_usec, rate);

  return cost + cost * receiver->unheld_usec / UNHELD_DOUBLES_USEC;
}

/* Return what a move of keys to RECEIVER is worth where MEAN_DEMAND is the
   mean demand of all owners: the demand up to the mean that it has room for,
   less if the keys have no holder for long.  */
static gint64
move_worth (const struct mesh_receiver *receiver, gint64 mean_demand)
{
  gint64 room
      = mean_demand
        - mesh_weighted_demand (receiver->reported_load.demand_permille,
                                receiver->reported_load.failed_permille);

  return room * UNHELD_DOUBLES_USEC
         / (UNHELD_DOUBLES_USEC + receiver->unheld_usec);
}

/* Return a random index of CANDIDATES.  */
static guint
random_start (struct mesh *mesh, const GArray *candidates)
{
  return candidates->len > 0
             ? g_int_hash (&(gint){ (gint)++mesh->random_count }) * 2654435761u
                   % candidates->len
             : 0;
}

/* Choose the one of CANDIDATES that is to receive a range of keys of MAP: the
   one to which the move is worth most among RANDOM_CHOICES random ones, where
   MEAN_DEMAND is the mean demand of all owners.  The choice is random because
   nodes that hand off keys at the same time would otherwise all choose the
   same receiver.  */
struct mesh_receiver
mesh_receiver_of_range (struct mesh *mesh, const GArray *candidates,
                        const struct shard_map *map, gint64 mean_demand,
                        gint64 now)
{
  struct mesh_receiver best = { 0 };
  guint start = random_start (mesh, candidates);
  guint drawn = 0;
  guint i;

  for (i = 0; i < candidates->len && drawn < RANDOM_CHOICES; i++)
    {
      struct mesh_receiver receiver;
      if (!may_receive (mesh, candidates, (start + i) % candidates->len, map,
                        now, &receiver))
        continue;
      drawn++;
      if (best.member == NULL
          || move_worth (&receiver, mean_demand)
                 > move_worth (&best, mean_demand))
        best = receiver;
    }
  return best;
}

/* Choose the one of CANDIDATES that is to receive a single key of MAP with
   RATE requests per second: the one with the least cost of the move.
   DEFAULT_RUN_USEC is the run time of a server that reported none.  */
struct mesh_receiver
mesh_receiver_of_key (struct mesh *mesh, const GArray *candidates,
                      const struct shard_map *map, gint64 default_run_usec,
                      guint32 rate, gint64 now)
{
  struct mesh_receiver best = { 0 };
  guint start = random_start (mesh, candidates);
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      struct mesh_receiver receiver;
      if (!may_receive (mesh, candidates, (start + i) % candidates->len, map,
                        now, &receiver))
        continue;
      if (best.member == NULL
          || move_cost (&receiver, default_run_usec, rate)
                 < move_cost (&best, default_run_usec, rate))
        best = receiver;
    }
  return best;
}

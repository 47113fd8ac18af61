#include "mesh/mesh_parts.h"

/* A report of this age does not count towards the mean demand.  */
#define REPORT_USEC ((gint64)6000000)

#define PERMILLE ((gint64)1000)

/* Load pattern: many neighbouring keys of one owner become hot at once and ask
   for the capacity of several servers.  An owner that halves its load with
   each move would need as many rounds of heartbeats as the event lasts.  So a
   server whose demand exceeds its capacity moves several ranges at once, each
   to another server and as much as that one has room for.  */
#define ROOM_PERMILLE 800u   /* demand up to which a receiver is filled */
#define ROOM_DIVISOR_MAX 64u /* least part of the rate that is moved then */

/* Return the largest part of the RATE requests per second of this overloaded
   node for which RECEIVER has room, where one request per second is a demand
   of DEMAND_PER_RATE millionths; 0 if it has no room.  */
static guint32
rate_with_room (const struct mesh_receiver *receiver, gint64 demand_per_rate,
                guint32 rate)
{
  guint32 divisor;

  for (divisor = 2;
       divisor <= ROOM_DIVISOR_MAX && rate / divisor >= MESH_MIN_MOVE_RATE;
       divisor *= 2)
    if (receiver->reported_load.demand_permille
            + (gint64)(rate / divisor) * demand_per_rate / USEC_PER_MSEC
        <= ROOM_PERMILLE)
      return rate / divisor;
  return 0;
}

/* Return the mean demand on the servers of CANDIDATES by their recent reports
   and on the local one, in thousandths of their capacities.  */
gint64
mesh_mean_demand (struct mesh *mesh, const GArray *candidates, gint64 now)
{
  gint64 sum = mesh_mean_own_demand (mesh);
  gint64 count = 1;
  guint i;

  for (i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);
      const struct peer_state *peer = table_get (
          &mesh->peers, fleet_state_find (&mesh->fleet, candidate->node_name));
      if (peer == NULL || peer->load_reported_at == 0
          || now - peer->load_reported_at >= REPORT_USEC)
        continue;
      sum += peer->load.demand_permille;
      count++;
    }
  return sum / count;
}

/* Return how many requests per second of this node, whose load is LOAD, are to
   move to RECEIVER, where MEAN_DEMAND is the mean demand of all owners; 0 if
   no move is worthwhile.  */
guint32
mesh_rate_to_move (const struct mesh *mesh,
                   const struct mesh_receiver *receiver,
                   const struct load_report *load, gint64 mean_demand)
{
  const struct load_report *reported = &receiver->reported_load;
  guint32 rate = key_rate_total (&mesh->key_rate);
  gint64 run_usec = load->mean_run_usec;
  gint64 own_demand = mesh_weighted_demand (mesh_mean_own_demand (mesh),
                                            load->failed_permille);
  gint64 own_per_rate
      = own_demand * PERMILLE / MAX (1, even_keys_rate (&mesh->even_keys));
  gint64 demand_per_rate = mesh_demand_per_rate (reported, run_usec);
  struct even_keys_receiver other
      = { mesh_weighted_demand (reported->demand_permille,
                                reported->failed_permille),
          demand_per_rate };

  if (load->demand_permille > MESH_OVERLOAD_PERMILLE)
    {
      guint32 moved = rate_with_room (receiver, demand_per_rate, rate);
      if (moved > 0)
        return moved;
    }
  if (!even_keys_has_excess (own_demand, mean_demand))
    return 0;
  rate = MIN (rate / 2, even_keys_rate_to_move (own_demand, mean_demand,
                                                own_per_rate, &other));
  return rate >= MESH_MIN_MOVE_RATE ? rate : 0;
}

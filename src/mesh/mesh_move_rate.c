#include "mesh/mesh_parts.h"

/* Keys are moved only if a request costs here at least this percentage of its
   cost at the other server.  The bound is higher if this server is merely
   slow: mean run times differ by chance, and a move takes its keys out of
   service for about a heartbeat interval.  */
#define BUSY_COST_PERCENT 130
#define SLOW_COST_PERCENT 170

/* One move takes away at most half of the requests of this server.  If that is
   too much for the receiver, the part is halved repeatedly, down to one part
   in this many.  */
#define MAX_DIVISOR 16u

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

/* Return how many of the RATE requests per second of this node, whose load is
   LOAD, are to move to RECEIVER; 0 if no move is worthwhile.  */
guint32
mesh_rate_to_move (const struct mesh_receiver *receiver,
                   const struct load_report *load, guint32 rate)
{
  gint64 run_usec = load->mean_run_usec;
  gint64 demand_per_rate = mesh_demand_per_rate (load, run_usec);
  gint64 demand = load->demand_permille;
  gint64 min_percent
      = demand >= MESH_BUSY_PERMILLE ? BUSY_COST_PERCENT : SLOW_COST_PERCENT;
  guint32 divisor;

  if (mesh_request_cost (run_usec, demand, load->failed_permille) * 100
      < mesh_receiver_cost (receiver, run_usec, 0) * min_percent)
    return 0;
  if (demand > MESH_OVERLOAD_PERMILLE)
    {
      guint32 moved = rate_with_room (
          receiver, mesh_demand_per_rate (&receiver->reported_load, run_usec),
          rate);
      if (moved > 0)
        return moved;
    }
  for (divisor = 2;
       divisor <= MAX_DIVISOR && rate / divisor >= MESH_MIN_MOVE_RATE;
       divisor *= 2)
    {
      guint32 moved = rate / divisor;
      if (mesh_receiver_cost (receiver, run_usec, moved) <= mesh_request_cost (
              run_usec, demand - moved * demand_per_rate / USEC_PER_MSEC,
              load->failed_permille))
        return moved;
    }
  return 0;
}

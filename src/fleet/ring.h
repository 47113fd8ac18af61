#ifndef BAMBOOTALLY_RING_H
#define BAMBOOTALLY_RING_H

#include "fleet/fleet_state.h"

/* The members that each member watches and exchanges gossip with.  The members
   form a ring in the order of their names.  Each sends gossip to the
   RING_ADJACENT members that follow it and to those at distances that double
   from there up to half of the ring.  Gossip reaches a fleet of N members in
   about log2 N hops, and the number of calls of a node grows the same way.  In
   fleets of up to 2 * RING_ADJACENT + 1 members each pair is in contact.  */

#define RING_ADJACENT 4u        /* following members that get gossip */
#define RING_NEIGHBOURS_MAX 40u /* on both sides, up to 2^20 members */

struct ring_neighbour
{
  struct handle member; /* the neighbour */
  gboolean is_called;   /* this node sends the gossip, not the neighbour */
};

struct ring
{
  struct ring_neighbour neighbours[RING_NEIGHBOURS_MAX]; /* neighbour list */
  guint32 neighbour_count; /* used entries of `neighbours' */
  guint64 fleet_changes;   /* count of changed members of the fleet state that
                              the ring was computed from */
};

gboolean ring_update (struct ring *ring, const struct fleet_state *fleet,
                      const char *self);

#endif

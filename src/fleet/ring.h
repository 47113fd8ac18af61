#ifndef BAMBOOTALLY_RING_H
#define BAMBOOTALLY_RING_H

#include "fleet/fleet_state.h"

/* Who watches whom.  The members in the order of their names form a ring; each
   calls the RING_ADJACENT that follow it and those at distances that double
   from there to half of the ring.  News crosses a fleet of N in about log2 N
   calls, and a node's calls grow with that as well.  Fleets of up to 2 *
   RING_ADJACENT + 1 have every pair call each other.  */

#define RING_ADJACENT 4u /* next members that a node calls */
#define RING_NEIGHBOURS_MAX                                                   \
  40u /* neighbours, on both sides, up to 2^20 members */

struct ring_neighbour
{
  struct handle member; /* who */
  gboolean is_called;   /* this node calls it, not it this node */
};

struct ring
{
  struct ring_neighbour neighbours[RING_NEIGHBOURS_MAX]; /* of this node */
  guint32 neighbour_count;                               /* how many */
  guint64 fleet_changes; /* of the roster when this was worked out */
};

gboolean ring_update (struct ring *ring, const struct fleet_state *fleet_state,
                      const char *self);

#endif

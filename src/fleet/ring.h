#ifndef BAMBOOTALLY_RING_H
#define BAMBOOTALLY_RING_H

#include "fleet/roster.h"

/* Who watches whom.  The members in the order of their names form a ring; each
   calls the RING_NEAR that follow it and those at distances that double from
   there to half of the ring.  News crosses a fleet of N in about log2 N calls,
   and a node's calls grow with that as well.  Fleets of up to
   2 * RING_NEAR + 1 have every pair call each other.  */

#define RING_NEAR 4u /* next members that a node calls */
#define RING_MAX 40u /* neighbours, on both sides, up to 2^20 members */

struct ring_neighbour
{
  struct handle member; /* who */
  gboolean calls;       /* this node calls it, not it this node */
};

struct ring
{
  struct ring_neighbour neighbour[RING_MAX]; /* of this node */
  guint32 count;                             /* how many */
  guint64 changes; /* of the roster when this was worked out */
};

gboolean ring_update (struct ring *ring, const struct roster *roster,
                      const char *self);

#endif

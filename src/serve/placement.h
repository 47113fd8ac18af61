#ifndef BAMBOOTALLY_PLACEMENT_H
#define BAMBOOTALLY_PLACEMENT_H

#include "types/handle.h"

struct peer_state;

/* Which servers of an undivided service are compared for a request.

   Load pattern: some 60 servers of a service, a dozen requests a second at
   each of 200 entry nodes.  Most of what a node knows of the servers' load is
   older than the time that requests run, and the same at many nodes.  If each
   node takes the best of all, all take the same few fast servers, whose queues
   grow while others are idle.  So each request compares only a few that are
   drawn at random, most of them in its own data centre since bytes between
   data centres are expensive.

   A server is drawn with a probability in proportion to its weight.  Servers
   of different speeds that are drawn alike get alike many requests wherever
   the comparison has nothing to go by, and the slow ones are overloaded.  */

#define PLACEMENT_NEAR 6u /* drawn in the data centre of the entry node */
#define PLACEMENT_FAR 1u  /* drawn elsewhere */
#define PLACEMENT_MAX (PLACEMENT_NEAR + PLACEMENT_FAR)

/* A server that may be drawn.  */
struct placement_candidate
{
  struct handle member;          /* member of the server's node */
  const struct peer_state *peer; /* what is known of it */
  gboolean is_near;              /* it is in the own data centre */
};

/* A candidate that was drawn.  */
struct placement_choice
{
  struct placement_candidate candidate;
  gdouble draw; /* random number; the lowest are kept */
};

struct server_placement
{
  guint64 seed;                                 /* of the random numbers */
  struct placement_choice near[PLACEMENT_NEAR]; /* in the own data centre */
  struct placement_choice far[PLACEMENT_FAR];   /* elsewhere */
  guint near_count;                             /* used entries of `near' */
  guint far_count;                              /* used entries of `far' */
};

void placement_init (struct server_placement *placement, guint64 seed);
void placement_offer (struct server_placement *placement,
                      const struct placement_candidate *candidate,
                      gdouble weight);
guint placement_count (const struct server_placement *placement);
const struct placement_candidate *
placement_at (const struct server_placement *placement, guint index);
guint32 placement_random (const struct server_placement *placement,
                          struct handle member);

#endif

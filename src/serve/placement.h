#ifndef BAMBOOTALLY_PLACEMENT_H
#define BAMBOOTALLY_PLACEMENT_H

#include "types/handle.h"

/* Which servers of an undivided service are compared for a request.

   Load pattern: some 60 servers of a service, a dozen requests a second at
   each of 200 entry nodes.  Most of what a node knows of the servers' load is
   older than the time that requests run, and the same at many nodes.  If each
   node takes the best of all, all take the same few fast servers, whose queues
   grow while others are idle.  So each request compares only a few that are
   drawn at random, more of them in its own data centre since bytes between
   data centres are expensive.  Of a service with few servers each node has
   fresh news, and all are compared.  */

#define PLACEMENT_ALL 8u /* so many candidates are all compared */

#define PLACEMENT_NEAR 3u /* drawn in the data centre of the entry node */
#define PLACEMENT_FAR 1u  /* drawn elsewhere */

/* A candidate that was drawn.  */
struct placement_choice
{
  struct handle member; /* the candidate */
  guint64 draw;         /* random number; the lowest are kept */
};

struct placement
{
  guint64 seed;                                 /* of the random numbers */
  struct placement_choice near[PLACEMENT_NEAR]; /* in the own data centre */
  struct placement_choice far[PLACEMENT_FAR];   /* elsewhere */
  struct handle
      all[PLACEMENT_ALL]; /* the first candidates that were offered */
  guint offered_count;    /* candidates that were offered */
  guint near_count;       /* used entries of `near' */
  guint far_count;        /* used entries of `far' */
};

void placement_init (struct placement *placement, guint64 seed);
void placement_offer (struct placement *placement, struct handle member,
                      gboolean is_near);
guint placement_count (const struct placement *placement);
struct handle placement_at (const struct placement *placement, guint index);

#endif

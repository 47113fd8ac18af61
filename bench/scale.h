#ifndef BENCH_SCALE_H
#define BENCH_SCALE_H

#include "standins/fleet.h"

/* Fleets of several sizes, for slopes.  */

#define SCALE_ZONES 11u        /* data centres */
#define SCALE_SLICES_A_NODE 8u /* slices of the service for each node */
#define SCALE_SLOTS 20u        /* of each server */

/* What a stretch of work took.  */
struct scale_cost
{
  gint64 usec; /* processor time */
  gsize bytes; /* growth of the heap */
};

/* A stretch of work that is being measured.  */
struct scale_mark
{
  gint64 usec; /* processor time at its start */
  gsize bytes; /* heap in use then */
};

extern const guint32 scale_sizes[3];

struct scale_mark scale_begin (void);
struct scale_cost scale_end (struct scale_mark mark);
void scale_join_all (struct fleet *fleet, guint32 nodes);
void scale_print (const char *what, guint32 nodes, gdouble value,
                  const char *unit);

#endif

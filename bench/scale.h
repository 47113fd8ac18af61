#ifndef BENCH_SCALE_H
#define BENCH_SCALE_H

#include "standins/fleet.h"

/* Fleets of several sizes, for slopes.  */

#define SCALE_ZONES 11u            /* data centres */
#define SCALE_SLICES_PER_NODE 8u   /* slices of the service for each node */
#define SCALE_SLOTS_PER_SERVER 20u /* of each server */

/* What a stretch of work took.  */
struct scale_cost
{
  gint64 cpu_usec;         /* processor time */
  gsize heap_growth_bytes; /* growth of the heap */
};

/* A stretch of work that is being measured.  */
struct scale_start
{
  gint64 start_cpu_usec;  /* processor time at its start */
  gsize start_heap_bytes; /* heap in use then */
};

extern const guint32 scale_node_counts[3];

struct scale_start scale_begin (void);
struct scale_cost scale_end (struct scale_start mark);
void scale_join_all (struct fleet *fleet, guint32 nodes);
void scale_print (const char *what, guint32 nodes, gdouble value,
                  const char *unit);

#endif

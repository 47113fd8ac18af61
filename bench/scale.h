#ifndef BENCH_SCALE_H
#define BENCH_SCALE_H

#include "standins/fleet.h"

/* Benchmarks by fleet size: fleets with several numbers of nodes, measurements
   of CPU time and heap, and rows of the report.  */

#define SCALE_ZONES 11u            /* data centres of a fleet */
#define SCALE_SLICES_PER_NODE 8u   /* slices of the service */
#define SCALE_SLOTS_PER_SERVER 20u /* request slots */

/* The cost of the code between scale_begin and scale_end.  */
struct scale_cost
{
  gint64 cpu_usec;         /* CPU time in microseconds */
  gsize heap_growth_bytes; /* growth of the heap, 0 if it shrank */
};

/* The state of the process at scale_begin.  */
struct scale_start
{
  gint64 start_cpu_usec;  /* CPU time used so far, in microseconds */
  gsize start_heap_bytes; /* heap in use */
};

extern const guint32 scale_node_counts[3];

struct scale_start scale_begin (void);
struct scale_cost scale_end (struct scale_start start);
void scale_join_all (struct fleet *fleet, guint32 nodes);
void scale_print (const char *label, guint32 nodes, gdouble value,
                  const char *unit);

#endif

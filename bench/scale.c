#include "bench/scale.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

const guint32 scale_node_counts[3] = { 1000, 4000, 17000 };

/* Return the CPU time of this process in microseconds.  */
static gint64
cpu_usec (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (gint64)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Return the bytes of the heap in use.  */
static gsize
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Start a measurement of CPU time and heap.  */
struct scale_start
scale_begin (void)
{
  struct scale_start start = { cpu_usec (), heap_bytes () };

  return start;
}

/* Return the CPU time and the heap growth since START.  */
struct scale_cost
scale_end (struct scale_start start)
{
  gsize bytes = heap_bytes ();
  struct scale_cost cost
      = { cpu_usec () - start.start_cpu_usec,
          bytes > start.start_heap_bytes ? bytes - start.start_heap_bytes
                                         : 0 };

  return cost;
}

/* Let NODES nodes join FLEET, spread evenly over SCALE_ZONES zones.  */
void
scale_join_all (struct fleet *fleet, guint32 nodes)
{
  guint32 i;

  for (i = 0; i < nodes; i++)
    fleet_join (fleet, i % SCALE_ZONES, SCALE_SLOTS_PER_SERVER);
}

/* Print one table row: the figure LABEL, VALUE in UNIT, for a fleet of NODES
   nodes, 0 if it does not depend on them.  */
void
scale_print (const char *label, guint32 nodes, gdouble value, const char *unit)
{
  printf ("| %s | %u | %.2f | %s |\n", label, nodes, value, unit);
}

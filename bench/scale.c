#include "bench/scale.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

const guint32 scale_node_counts[3] = { 1000, 4000, 17000 };

/* Processor time of this process, in microseconds.  */
static gint64
cpu_usec (void)
{
  struct timespec at;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &at);
  return (gint64)at.tv_sec * G_USEC_PER_SEC + at.tv_nsec / 1000;
}

/* Bytes of the heap in use.  */
static gsize
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Begin to measure.  */
struct scale_start
scale_begin (void)
{
  struct scale_start mark = { cpu_usec (), heap_bytes () };

  return mark;
}

/* What has been spent since MARK.  */
struct scale_cost
scale_end (struct scale_start mark)
{
  gsize bytes = heap_bytes ();
  struct scale_cost cost
      = { cpu_usec () - mark.start_cpu_usec,
          bytes > mark.start_heap_bytes ? bytes - mark.start_heap_bytes : 0 };

  return cost;
}

/* Let NODES join, spread over the zones.  */
void
scale_join_all (struct fleet *fleet, guint32 nodes)
{
  guint32 i;

  for (i = 0; i < nodes; i++)
    fleet_join (fleet, i % SCALE_ZONES, SCALE_SLOTS_PER_SERVER);
}

/* Print one figure.  */
void
scale_print (const char *what, guint32 nodes, gdouble value, const char *unit)
{
  printf ("| %s | %u | %.2f | %s |\n", what, nodes, value, unit);
}

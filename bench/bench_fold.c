#include "bench/scale.h"
#include "wire/wire_record.h"
#include "wire/wire_view.h"

#include <stdio.h>
#include <string.h>

/* What the view costs a node by the size of the fleet: memory, time to fold
   and bytes on the log.  */

#define ROUNDS 4096u /* plans made at most */
#define SAMPLES 100u /* records of a kind that are timed */

/* The bytes of RECORD on the log.  */
static guint
record_bytes (const struct record *record)
{
  GByteArray *bytes = record_encode (record);
  guint length = bytes != NULL ? bytes->len : 0;

  if (bytes != NULL)
    g_byte_array_unref (bytes);
  return length;
}

/* Print the bytes of the records that the log sees most.  */
static void
print_records (void)
{
  struct record_slice items[SAMPLES] = { { 0 } };
  struct record record = { .version = RECORD_VERSION };

  record.kind = RECORD_JOIN;
  g_strlcpy (record.body.join.host, "caerdydd-00001", NAME_SIZE);
  g_strlcpy (record.body.join.zone, "caerdydd", NAME_SIZE);
  g_strlcpy (record.body.join.service, "enquiry-desk", NAME_SIZE);
  g_strlcpy (record.body.join.server, "enquiry-00001", NAME_SIZE);
  scale_print ("join record", 0, record_bytes (&record), "bytes");
  memset (&record.body, 0, sizeof record.body);
  record.kind = RECORD_WITNESS_SET;
  record.body.witness_set.witness_count = 3;
  scale_print ("witness record", 0, record_bytes (&record), "bytes");
  memset (&record.body, 0, sizeof record.body);
  record.kind = RECORD_REMOVED;
  scale_print ("out record", 0, record_bytes (&record), "bytes");
  memset (&record.body, 0, sizeof record.body);
  record.kind = RECORD_MOVE;
  g_strlcpy (record.body.slices.service, "enquiry-desk", NAME_SIZE);
  record.body.slices.items = items;
  scale_print ("move record, empty", 0, record_bytes (&record), "bytes");
  record.body.slices.count = SAMPLES;
  scale_print ("move record, 100 slices", 0, record_bytes (&record), "bytes");
}

/* Print what a snapshot of VIEW takes to write and to read.  */
static void
print_snapshot (const struct view *view, guint32 nodes)
{
  struct scale_start mark = scale_begin ();
  GByteArray *bytes = view_encode (view);
  struct view back;

  scale_print ("snapshot, encode", nodes,
               (gdouble)scale_end (mark).cpu_usec / 1000, "ms");
  scale_print ("snapshot", nodes, (gdouble)bytes->len / 1048576, "MiB");
  mark = scale_begin ();
  if (view_decode (&back, bytes->data, bytes->len) == ERR_NONE)
    {
      scale_print ("snapshot, decode", nodes,
                   (gdouble)scale_end (mark).cpu_usec / 1000, "ms");
      view_clear (&back);
    }
  g_byte_array_unref (bytes);
}

/* Measure the view of NODES.  */
static void
run_size (guint32 nodes)
{
  struct scale_start mark = scale_begin ();
  struct planner planner;
  struct fleet fleet;
  struct scale_cost cost;
  guint32 i;

  fleet_init (&fleet, nodes * SCALE_SLICES_PER_NODE);
  scale_join_all (&fleet, nodes);
  cost = scale_end (mark);
  scale_print ("view, joins folded", nodes,
               (gdouble)cost.heap_growth_bytes / 1048576, "MiB");
  scale_print ("fold of one join", nodes, (gdouble)cost.cpu_usec / nodes,
               "usec");
  planner_init (&planner);
  fleet_plan (&fleet, &planner, 1, ROUNDS);
  planner_clear (&planner);
  cost = scale_end (mark);
  scale_print ("view, slices assigned", nodes,
               (gdouble)cost.heap_growth_bytes / 1048576, "MiB");
  print_snapshot (&fleet.view, nodes);
  mark = scale_begin ();
  for (i = 1; i <= SAMPLES; i++)
    fleet_remove (&fleet, i);
  cost = scale_end (mark);
  scale_print ("fold of one out", nodes, (gdouble)cost.cpu_usec / SAMPLES,
               "usec");
  fleet_clear (&fleet);
}

int
main (void)
{
  guint i;

  printf ("| what | nodes | value | unit |\n|---|---|---|---|\n");
  print_records ();
  for (i = 0; i < G_N_ELEMENTS (scale_node_counts); i++)
    run_size (scale_node_counts[i]);
  return 0;
}

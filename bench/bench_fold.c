#include "bench/scale.h"
#include "wire/wire_record.h"
#include "wire/wire_view.h"

#include <stdio.h>
#include <string.h>

/* What the view costs a node by the number of nodes in the fleet: memory, CPU
   time to apply records, and bytes on the log.  */

#define MAX_PLANS 4096u /* upper bound on the plans made */
#define SAMPLES 100u    /* removals timed; slices of the long move record */

/* Return the encoded length of RECORD in bytes, or 0 if it cannot be
   encoded.  */
static guint
record_bytes (const struct record *record)
{
  GByteArray *bytes = record_encode (record);
  guint length = bytes != NULL ? bytes->len : 0;

  if (bytes != NULL)
    g_byte_array_unref (bytes);
  return length;
}

/* Print the encoded lengths of the most frequent kinds of records.  */
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
  scale_print ("removal record", 0, record_bytes (&record), "bytes");
  memset (&record.body, 0, sizeof record.body);
  record.kind = RECORD_MOVE;
  g_strlcpy (record.body.slices.service, "enquiry-desk", NAME_SIZE);
  record.body.slices.items = items;
  scale_print ("move record, empty", 0, record_bytes (&record), "bytes");
  record.body.slices.count = SAMPLES;
  scale_print ("move record, 100 slices", 0, record_bytes (&record), "bytes");
}

/* Print the size of a snapshot of VIEW, the view of NODES nodes, and the CPU
   time to encode and to decode it.  */
static void
print_snapshot (const struct view *view, guint32 nodes)
{
  struct scale_start start = scale_begin ();
  GByteArray *bytes = view_encode (view);
  struct view decoded;

  scale_print ("snapshot, encode", nodes,
               (gdouble)scale_end (start).cpu_usec / 1000, "ms");
  scale_print ("snapshot", nodes, (gdouble)bytes->len / 1048576, "MiB");
  start = scale_begin ();
  if (view_decode (&decoded, bytes->data, bytes->len) == ERR_NONE)
    {
      scale_print ("snapshot, decode", nodes,
                   (gdouble)scale_end (start).cpu_usec / 1000, "ms");
      view_clear (&decoded);
    }
  g_byte_array_unref (bytes);
}

/* Measure the view of a fleet of NODES nodes.  */
static void
run_size (guint32 nodes)
{
  struct scale_start start = scale_begin ();
  struct planner planner;
  struct fleet fleet;
  struct scale_cost cost;
  guint32 i;

  fleet_init (&fleet, nodes * SCALE_SLICES_PER_NODE);
  scale_join_all (&fleet, nodes);
  cost = scale_end (start);
  scale_print ("view, joins applied", nodes,
               (gdouble)cost.heap_growth_bytes / 1048576, "MiB");
  scale_print ("apply one join", nodes, (gdouble)cost.cpu_usec / nodes,
               "usec");
  planner_init (&planner);
  fleet_plan (&fleet, &planner, 1, MAX_PLANS);
  planner_clear (&planner);
  cost = scale_end (start);
  scale_print ("view, slices assigned", nodes,
               (gdouble)cost.heap_growth_bytes / 1048576, "MiB");
  print_snapshot (&fleet.view, nodes);
  start = scale_begin ();
  for (i = 1; i <= SAMPLES; i++)
    fleet_remove (&fleet, i);
  cost = scale_end (start);
  scale_print ("apply one removal", nodes, (gdouble)cost.cpu_usec / SAMPLES,
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

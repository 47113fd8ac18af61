#include "bench/scale.h"

#include <stdio.h>

/* What planning costs by the number of members: a plan that finds nothing to
   do, and all plans after a join, a leave, a loss and the loss of one data
   centre, with the records appended and the slices moved.  */

#define MAX_PLANS 4096u      /* upper bound on the plans made at once */
#define PLAN_SAMPLES 20u     /* plans that are timed */
#define LOST_ZONE_STRIDE 11u /* between nodes of one data centre */

/* Make all plans that are due for FLEET at time NOW in microseconds, and print
   their CPU time, records and moved slices under LABEL.  */
static void
print_plans (struct fleet *fleet, struct planner *planner, const char *label,
             guint32 nodes, gint64 now)
{
  guint64 first_offset = fleet->view.applied_offset;
  char full_label[NAME_SIZE];
  struct scale_start start = scale_begin ();
  guint32 moved = fleet_plan (fleet, planner, now, MAX_PLANS);
  struct scale_cost cost = scale_end (start);

  g_snprintf (full_label, sizeof full_label, "%s, all plans", label);
  scale_print (full_label, nodes, (gdouble)cost.cpu_usec / 1000, "ms");
  g_snprintf (full_label, sizeof full_label, "%s, slices moved", label);
  scale_print (full_label, nodes, moved, "slices");
  g_snprintf (full_label, sizeof full_label, "%s, records", label);
  scale_print (full_label, nodes,
               (gdouble)(fleet->view.applied_offset - first_offset),
               "records");
}

/* Run one planning pass that finds nothing to do, in steps of PLAN_STEP_UNITS
   as a node does, and print the longest step and the number of steps.  */
static void
print_steps (struct fleet *fleet, struct planner *planner, guint32 nodes,
             gint64 now)
{
  gint64 longest = 0;
  guint32 steps = 0;
  gboolean more = TRUE;

  planner_begin_pass (planner, now);
  while (more)
    {
      struct plan_batch batch;
      struct scale_start start;
      plan_batch_init (&batch);
      start = scale_begin ();
      more = plan_advance (planner, &fleet->view, fleet_service (fleet), now,
                           PLAN_STEP_UNITS, &batch);
      longest = MAX (longest, scale_end (start).cpu_usec);
      plan_batch_clear (&batch);
      steps++;
    }
  scale_print ("longest step of a pass", nodes, (gdouble)longest, "usec");
  scale_print ("steps of a pass", nodes, steps, "steps");
}

/* Print the memory that a planning pass uses.  */
static void
print_memory (struct fleet *fleet, struct planner *planner, guint32 nodes,
              gint64 now)
{
  struct scale_start start = scale_begin ();
  struct plan_batch batch;
  guint32 slices = fleet_service (fleet)->slices->len;

  plan_batch_init (&batch);
  planner_begin_pass (planner, now);
  while (planner->stage != PLAN_CHECK_SLICES || planner->cursor < slices)
    plan_advance (planner, &fleet->view, fleet_service (fleet), now, 1,
                  &batch);
  scale_print ("memory of a pass", nodes,
               (gdouble)scale_end (start).heap_growth_bytes / 1048576, "MiB");
  planner_end_pass (planner);
  plan_batch_clear (&batch);
}

/* Measure planning for a service with NODES members.  */
static void
run_size (guint32 nodes)
{
  gint64 now = G_USEC_PER_SEC;
  struct scale_start start;
  struct scale_cost cost;
  struct planner planner;
  struct fleet fleet;
  guint32 i;

  fleet_init (&fleet, nodes * SCALE_SLICES_PER_NODE);
  scale_join_all (&fleet, nodes);
  planner_init (&planner);
  print_plans (&fleet, &planner, "start", nodes, now);
  start = scale_begin ();
  for (i = 0; i < PLAN_SAMPLES; i++)
    fleet_plan (&fleet, &planner, now, 1);
  cost = scale_end (start);
  scale_print ("plan that finds nothing", nodes,
               (gdouble)cost.cpu_usec / 1000 / PLAN_SAMPLES, "ms");
  print_steps (&fleet, &planner, nodes, now);
  print_memory (&fleet, &planner, nodes, now);
  fleet_join (&fleet, 0, SCALE_SLOTS_PER_SERVER);
  print_plans (&fleet, &planner, "join", nodes, now);
  fleet_leave (&fleet, 2);
  print_plans (&fleet, &planner, "leave", nodes, now + G_USEC_PER_SEC);
  fleet_remove (&fleet, 3);
  print_plans (&fleet, &planner, "loss", nodes,
               now + (gint64)100 * G_USEC_PER_SEC);
  for (i = LOST_ZONE_STRIDE; i <= nodes; i += LOST_ZONE_STRIDE)
    fleet_remove (&fleet, i);
  print_plans (&fleet, &planner, "lost data centre", nodes,
               now + (gint64)200 * G_USEC_PER_SEC);
  planner_clear (&planner);
  fleet_clear (&fleet);
}

int
main (void)
{
  guint i;

  printf ("| what | nodes | value | unit |\n|---|---|---|---|\n");
  for (i = 0; i < G_N_ELEMENTS (scale_node_counts); i++)
    run_size (scale_node_counts[i]);
  return 0;
}

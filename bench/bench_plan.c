#include "bench/scale.h"

#include <stdio.h>

/* What planning costs by the number of members: a plan that finds nothing to
   do, and all plans after a join, a leave, a loss and the loss of one data
   centre, with the records and slices that they take.  */

#define ROUNDS 4096u     /* plans made at most */
#define SAMPLES 20u      /* plans that are timed */
#define CENTRE_SHARE 11u /* one node in so many is lost with its centre */

/* Make all plans that FLEET wants now and print what they took.  */
static void
print_plans (struct fleet *fleet, struct planner *planner, const char *what,
             guint32 nodes, gint64 now)
{
  guint64 next = fleet->view.applied_offset;
  char text[NAME_SIZE];
  struct scale_start mark = scale_begin ();
  guint32 moved = fleet_plan (fleet, planner, now, ROUNDS);
  struct scale_cost cost = scale_end (mark);

  g_snprintf (text, sizeof text, "%s, all plans", what);
  scale_print (text, nodes, (gdouble)cost.cpu_usec / 1000, "ms");
  g_snprintf (text, sizeof text, "%s, slices moved", what);
  scale_print (text, nodes, moved, "slices");
  g_snprintf (text, sizeof text, "%s, records", what);
  scale_print (text, nodes, (gdouble)(fleet->view.applied_offset - next),
               "records");
}

/* Go through one pass that finds nothing, in steps as a node takes them, and
   print the longest step and how many there are.  */
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
      struct scale_start mark;
      plan_batch_init (&batch);
      mark = scale_begin ();
      more = plan_advance (planner, &fleet->view, fleet_service (fleet), now,
                           PLAN_STEP_UNITS, &batch);
      longest = MAX (longest, scale_end (mark).cpu_usec);
      plan_batch_clear (&batch);
      steps++;
    }
  scale_print ("longest step of a pass", nodes, (gdouble)longest, "usec");
  scale_print ("steps of a pass", nodes, steps, "steps");
}

/* Print the memory that a pass holds.  */
static void
print_memory (struct fleet *fleet, struct planner *planner, guint32 nodes,
              gint64 now)
{
  struct scale_start mark = scale_begin ();
  struct plan_batch batch;
  guint32 slices = fleet_service (fleet)->slices->len;

  plan_batch_init (&batch);
  planner_begin_pass (planner, now);
  while (planner->stage != PLAN_CHECK_SLICES || planner->cursor < slices)
    plan_advance (planner, &fleet->view, fleet_service (fleet), now, 1,
                  &batch);
  scale_print ("memory of a pass", nodes,
               (gdouble)scale_end (mark).heap_growth_bytes / 1048576, "MiB");
  planner_end_pass (planner);
  plan_batch_clear (&batch);
}

/* Measure the plans for NODES members.  */
static void
run_size (guint32 nodes)
{
  gint64 now = G_USEC_PER_SEC;
  struct scale_start mark;
  struct scale_cost cost;
  struct planner planner;
  struct fleet fleet;
  guint32 i;

  fleet_init (&fleet, nodes * SCALE_SLICES_PER_NODE);
  scale_join_all (&fleet, nodes);
  planner_init (&planner);
  print_plans (&fleet, &planner, "start", nodes, now);
  mark = scale_begin ();
  for (i = 0; i < SAMPLES; i++)
    fleet_plan (&fleet, &planner, now, 1);
  cost = scale_end (mark);
  scale_print ("plan that finds nothing", nodes,
               (gdouble)cost.cpu_usec / 1000 / SAMPLES, "ms");
  print_steps (&fleet, &planner, nodes, now);
  print_memory (&fleet, &planner, nodes, now);
  fleet_join (&fleet, 0, SCALE_SLOTS_PER_SERVER);
  print_plans (&fleet, &planner, "join", nodes, now);
  fleet_leave (&fleet, 2);
  print_plans (&fleet, &planner, "leave", nodes, now + G_USEC_PER_SEC);
  fleet_remove (&fleet, 3);
  print_plans (&fleet, &planner, "loss", nodes,
               now + (gint64)100 * G_USEC_PER_SEC);
  for (i = CENTRE_SHARE; i <= nodes; i += CENTRE_SHARE)
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

#include "scenarios/check.h"

#include "decide/ownership.h"

#include <string.h>

/* Count the nodes whose servers accept requests for SLICE now, and put the
   last of them into OWNER.  A frozen node counts: its clock goes on.  */
guint
check_count_owners (const struct world *world, guint32 slice, guint *owner)
{
  guint owners = 0;
  guint n;

  for (n = 0; n < world->node_count; n++)
    {
      const struct sim_node *node = &world->nodes[n];
      const struct view_service *service;
      if (!node->alive)
        continue;
      service = view_find_service (&node->core.view, WORLD_SERVICE);
      if (service == NULL
          || !ownership_check (&node->core, service, slice, world->now)
                  .may_serve)
        continue;
      owners++;
      *owner = n;
    }
  return owners;
}

/* Count the runs of the request ID.  */
guint
check_count_runs (const struct world *world, const char *id)
{
  guint count = 0;
  guint i;

  for (i = 0; i < world->runs->len; i++)
    if (strcmp (g_array_index (world->runs, struct fake_run, i).id, id) == 0)
      count++;
  return count;
}

/* Name the owners of SLICE in TEXT, with their fences.  */
static char *
name_owners (const struct world *world, guint32 slice)
{
  GString *text = g_string_new (NULL);
  guint n;

  for (n = 0; n < world->node_count; n++)
    {
      const struct sim_node *node = &world->nodes[n];
      const struct view_service *service;
      struct serve_right right;
      if (!node->alive)
        continue;
      service = view_find_service (&node->core.view, WORLD_SERVICE);
      if (service == NULL)
        continue;
      right = ownership_check (&node->core, service, slice, world->now);
      if (right.may_serve)
        g_string_append_printf (text, " n%u (%" G_GUINT64_FORMAT ".%u)", n + 1,
                                right.fence.offset,
                                right.fence.takeover_count);
    }
  return g_string_free (text, FALSE);
}

/* No slice has two owners.  */
static void
check_one_owner (struct world *world)
{
  guint32 slice;
  guint owner = 0;

  for (slice = 0; slice < world->slice_count; slice++)
    {
      char *names;
      if (check_count_owners (world, slice, &owner) <= 1)
        continue;
      names = name_owners (world, slice);
      world_fail (world, "slice %u has two owners at %.3f:%s", slice,
                  (double)(world->now - G_USEC_PER_SEC) / G_USEC_PER_SEC,
                  names);
      g_free (names);
    }
}

/* A request that must run once has not run twice, and a slice's fences do not
   fall from run to run.  */
static void
check_last_run (struct world *world)
{
  const struct fake_run *run;

  if (world->runs->len == world->checked_run_count)
    return;
  world->checked_run_count = world->runs->len;
  run = &g_array_index (world->runs, struct fake_run, world->runs->len - 1);
  if (run->run_class == RUN_ONCE && check_count_runs (world, run->id) > 1)
    world_fail (world, "request %s ran twice", run->id);
  if (world->slice_count == 0)
    return;
  if (fence_compare (run->fence, world->highest_fences[run->slice]) < 0)
    world_fail (world, "request %s ran under an old fence", run->id);
  world->highest_fences[run->slice] = run->fence;
}

/* What was answered as not run has not run, and what was answered as done has:
   check the sending numbered I.  */
void
check_submission (struct world *world, guint i)
{
  const struct submission *submission
      = &g_array_index (world->submissions, struct submission, i);

  if (submission->answered && submission->outcome == OUTCOME_NOT_RUN
      && submission->was_run)
    world_fail (world, "request %s ran and was answered not run",
                submission->id);
  if (submission->answered && submission->outcome == OUTCOME_DONE
      && !submission->was_run)
    world_fail (world, "request %s had the answer of another", submission->id);
}

/* No node's configuration goes back.  */
static void
check_config (struct world *world)
{
  guint n;

  for (n = 0; n < world->node_count; n++)
    {
      struct sim_node *node = &world->nodes[n];
      if (!node->alive)
        continue;
      if (node->core.view.config_offset < node->last_config_offset)
        world_fail (world, "the configuration of n%u went back", n + 1);
      node->last_config_offset = node->core.view.config_offset;
    }
}

/* Check WORLD.  */
void
check_world (struct world *world)
{
  check_one_owner (world);
  check_last_run (world);
  check_config (world);
}

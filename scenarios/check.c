#include "scenarios/check.h"

#include "decide/ownership.h"

#include <string.h>

/* Return the number of nodes whose servers accept requests for SLICE now, and
   set OWNER to the last of them.  A frozen node counts too: its clock keeps
   running.  */
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

/* Return how often servers have begun to run the request ID.  */
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

/* Return the nodes that own SLICE with their fences, as text for a failure
   message.  The caller frees it.  */
static char *
format_owners (const struct world *world, guint32 slice)
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

/* Fail the scenario if two nodes own the same slice.  */
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
      names = format_owners (world, slice);
      world_fail (world, "slice %u has two owners at %.3f:%s", slice,
                  (double)(world->now - G_USEC_PER_SEC) / G_USEC_PER_SEC,
                  names);
      g_free (names);
    }
}

/* Check the last recorded run: a run-once request must not run twice, and the
   fences of a slice's runs must not decrease.  */
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
    world_fail (world, "request %s ran under an outdated fence", run->id);
  world->highest_fences[run->slice] = run->fence;
}

/* Check submission I against its answer: a request answered as not run must
   not have run, and one answered as done must have run.  */
void
check_submission (struct world *world, guint i)
{
  const struct submission *submission
      = &g_array_index (world->submissions, struct submission, i);

  if (submission->answered && submission->outcome == OUTCOME_NOT_RUN
      && submission->was_run)
    world_fail (world, "request %s was answered not run and has run",
                submission->id);
  if (submission->answered && submission->outcome == OUTCOME_DONE
      && !submission->was_run)
    world_fail (world, "request %s was answered done and has not run",
                submission->id);
}

/* Fail the scenario if the configuration in force at a node is older than
   before.  */
static void
check_config_order (struct world *world)
{
  guint n;

  for (n = 0; n < world->node_count; n++)
    {
      struct sim_node *node = &world->nodes[n];
      if (!node->alive)
        continue;
      if (node->core.view.config_offset < node->last_config_offset)
        world_fail (world, "n%u reverted to an older configuration", n + 1);
      node->last_config_offset = node->core.view.config_offset;
    }
}

/* Check the invariants of WORLD; called after every simulated event.  */
void
check_world (struct world *world)
{
  check_one_owner (world);
  check_last_run (world);
  check_config_order (world);
}

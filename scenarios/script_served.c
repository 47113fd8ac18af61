#include "scenarios/check.h"
#include "scenarios/script.h"

#include "decide/ownership.h"

#include <string.h>

/* Expecting that keys are served.  */

#define POLL_USEC 50000 /* what is to come is looked for so often */

/* Tell whether a probe of KEY sent since the sending FIRST was served.  */
static gboolean
probe_served (const struct script *script, guint first, const char *key)
{
  guint i;

  for (i = first; i < script->world.submissions->len; i++)
    {
      const struct submission *submission
          = &g_array_index (script->world.submissions, struct submission, i);
      if (submission->is_probe && submission->answered
          && submission->outcome == OUTCOME_DONE
          && (script->world.slice_count == 0
              || strcmp (submission->key, key) == 0))
        return TRUE;
    }
  return FALSE;
}

/* expect served K within T: a probe through some node is answered by then. */
void
script_expect_served (struct script *script)
{
  char key[KEY_SIZE];
  guint first = script->world.submissions->len;
  gint64 begun = script->world.now;
  gint64 until;
  guint n = 0;

  g_strlcpy (key, script_read_name (script), sizeof key);
  until = script_read_deadline (script);
  while (script->world.now < until && script->failure[0] == '\0')
    {
      script_send_probe (script, key, n++ % script->world.node_count);
      script_run_until (script, MIN (until, script->world.now + POLL_USEC));
      if (probe_served (script, first, key))
        {
          script->longest_wait_usec
              = MAX (script->longest_wait_usec, script->world.now - begun);
          return;
        }
    }
  script_fail (script, "line %u: %s was not served", script->scanner->line,
               key);
}

/* Why the node that owns SLICE on the log does not serve it.  */
static const char *
refusal (const struct script *script, const struct view_slice *entry,
         guint32 slice)
{
  const struct view *view = &script->world.log.view;
  guint n = world_find_node (&script->world,
                             view_incarnation (view, entry->owner));
  const struct core *core;

  if (n == script->world.node_count || !script->world.nodes[n].alive)
    return "gone";
  core = &script->world.nodes[n].core;
  return reason_name (
      ownership_check (core, view_find_service (&core->view, WORLD_SERVICE),
                       slice, script->world.now)
          .reason);
}

/* Tell that SLICE is not served, and what the log says of it.  */
static void
fail_unserved (struct script *script, guint32 slice)
{
  const struct view *view = &script->world.log.view;
  const struct view_service *service = view_find_service (view, WORLD_SERVICE);
  const struct view_slice *entry
      = service != NULL ? view_slice_at (service, slice) : NULL;

  if (entry == NULL)
    script_fail (script, "line %u: slice %u does not exist",
                 script->scanner->line, slice);
  else
    script_fail (
        script,
        "line %u: slice %u is not served (owner n%u, move %" G_GUINT64_FORMAT
        " to n%u, %s)",
        script->scanner->line, slice,
        world_find_node (&script->world, view_incarnation (view, entry->owner))
            + 1,
        entry->move_offset,
        world_find_node (&script->world,
                         view_incarnation (view, entry->receiver))
            + 1,
        refusal (script, entry, slice));
}

/* expect all-served within T: every slice has an owner that serves it.  */
void
script_expect_all_served (struct script *script)
{
  gint64 begun = script->world.now;
  gint64 until = script_read_deadline (script);
  guint owner = 0;
  guint32 slice;

  for (;;)
    {
      for (slice = 0; slice < script->world.slice_count; slice++)
        if (check_count_owners (&script->world, slice, &owner) == 0)
          break;
      if (slice >= script->world.slice_count)
        break;
      if (script->world.now >= until || script->failure[0] != '\0')
        {
          fail_unserved (script, slice);
          return;
        }
      script_run_until (script, MIN (until, script->world.now + POLL_USEC));
    }
  script->longest_wait_usec
      = MAX (script->longest_wait_usec, script->world.now - begun);
}

#include "scenarios/check.h"
#include "scenarios/script.h"

#include "decide/own.h"
#include "decide/slice.h"

#include <string.h>

/* Statements that expect something of the world.  */

#define POLL_USEC 50000 /* what is to come is looked for so often */

/* The slice of KEY, as the log has it.  */
static guint32
slice_of (const struct script *script, const char *key)
{
  const struct view_service *service
      = view_find_service (&script->world.log.view, WORLD_SERVICE);

  return service != NULL && script->world.slices > 0
             ? slice_of_key (service, key)
             : 0;
}

/* Compare COUNT as the script says: <= N, >= N or = N.  */
static void
compare (struct script *script, const char *what, guint count)
{
  gboolean below = script_char (script, '<');
  gboolean above = !below && script_char (script, '>');
  gboolean holds;
  guint wanted;

  if (!script_char (script, '='))
    script_fail (script, "line %u: <=, >= or = is wanted",
                 script->scanner->line);
  wanted = (guint)script_number (script);
  holds = below ? count <= wanted : above ? count >= wanted : count == wanted;
  if (!holds)
    script_fail (script, "line %u: %s is %u", script->scanner->line, what,
                 count);
}

/* The time that `within T' gives, from now; without it none.  */
static gint64
take_within (struct script *script)
{
  return script_word (script, "within")
             ? script->world.now
                   + (gint64)(script_number (script) * G_USEC_PER_SEC)
             : script->world.now;
}

/* Tell whether a probe of KEY sent since the sending FIRST was served.  */
static gboolean
probe_served (const struct script *script, guint first, const char *key)
{
  guint i;

  for (i = first; i < script->world.sendings->len; i++)
    {
      const struct sending *sending
          = &g_array_index (script->world.sendings, struct sending, i);
      if (sending->probe && sending->answered
          && sending->outcome == OUTCOME_DONE
          && (script->world.slices == 0 || strcmp (sending->key, key) == 0))
        return TRUE;
    }
  return FALSE;
}

/* expect served K within T: a probe through some node is answered by then. */
static void
expect_served (struct script *script)
{
  char key[KEY_SIZE];
  guint first = script->world.sendings->len;
  gint64 begun = script->world.now;
  gint64 until;
  guint n = 0;

  g_strlcpy (key, script_name (script), sizeof key);
  until = take_within (script);
  while (script->world.now < until && script->fault[0] == '\0')
    {
      script_probe (script, key, n++ % script->world.count);
      script_run_until (script, MIN (until, script->world.now + POLL_USEC));
      if (probe_served (script, first, key))
        {
          script->slowest = MAX (script->slowest, script->world.now - begun);
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
  guint n = world_find (&script->world, view_incarnation (view, entry->owner));
  const struct core *core;

  if (n == script->world.count || !script->world.nodes[n].alive)
    return "gone";
  core = &script->world.nodes[n].core;
  return reason_name (
      own_check (core, view_find_service (&core->view, WORLD_SERVICE), slice,
                 script->world.now)
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
        world_find (&script->world, view_incarnation (view, entry->owner)) + 1,
        entry->move,
        world_find (&script->world, view_incarnation (view, entry->to)) + 1,
        refusal (script, entry, slice));
}

/* expect all-served within T: every slice has an owner that serves it.  */
static void
expect_all_served (struct script *script)
{
  gint64 begun = script->world.now;
  gint64 until = take_within (script);
  guint owner = 0;
  guint32 slice;

  for (;;)
    {
      for (slice = 0; slice < script->world.slices; slice++)
        if (check_owners (&script->world, slice, &owner) == 0)
          break;
      if (slice >= script->world.slices)
        break;
      if (script->world.now >= until || script->fault[0] != '\0')
        {
          fail_unserved (script, slice);
          return;
        }
      script_run_until (script, MIN (until, script->world.now + POLL_USEC));
    }
  script->slowest = MAX (script->slowest, script->world.now - begun);
}

/* The publication NAME, or NULL.  */
static const struct publication *
find_publication (const struct script *script, const char *name)
{
  guint i;

  for (i = 0; i < script->world.publications->len; i++)
    {
      const struct publication *publication
          = &g_array_index (script->world.publications, struct publication, i);
      if (strcmp (publication->name, name) == 0)
        return publication;
    }
  return NULL;
}

/* Tell whether NAME is in force at each node that runs.  */
static gboolean
in_force (const struct script *script, const char *name)
{
  const struct publication *publication = find_publication (script, name);
  guint n;

  if (publication == NULL || !publication->accepted)
    return FALSE;
  for (n = 0; n < script->world.count; n++)
    {
      const struct sim_node *node = &script->world.nodes[n];
      if (node->alive && node->frozen_until <= script->world.now
          && node->core.view.config_offset != publication->offset)
        return FALSE;
    }
  return TRUE;
}

/* expect config C (everywhere within T | accepted | conflict).  */
static void
expect_config (struct script *script)
{
  char name[NAME_SIZE];
  const struct publication *publication;
  gint64 until;

  g_strlcpy (name, script_name (script), sizeof name);
  publication = find_publication (script, name);
  if (publication == NULL)
    script_fail (script, "line %u: %s was not published",
                 script->scanner->line, name);
  else if (script_word (script, "accepted"))
    {
      if (!publication->accepted)
        script_fail (script, "line %u: %s was not accepted",
                     script->scanner->line, name);
    }
  else if (script_word (script, "conflict"))
    {
      if (publication->offset == 0 || publication->accepted)
        script_fail (script, "line %u: %s met no conflict",
                     script->scanner->line, name);
    }
  else if (script_word (script, "everywhere"))
    {
      until = take_within (script);
      while (!in_force (script, name) && script->world.now < until
             && script->fault[0] == '\0')
        script_run_until (script, MIN (until, script->world.now + POLL_USEC));
      if (!in_force (script, name))
        script_fail (script, "line %u: %s is not in force everywhere",
                     script->scanner->line, name);
    }
}

/* Tell whether the last sending of ID ended as NAME says.  */
static void
expect_outcome (struct script *script)
{
  char id[REQUEST_ID_SIZE];
  const struct sending *last = NULL;
  const char *wanted;
  guint i;

  g_strlcpy (id, script_name (script), sizeof id);
  wanted = script_name (script);
  for (i = 0; i < script->world.sendings->len; i++)
    {
      const struct sending *sending
          = &g_array_index (script->world.sendings, struct sending, i);
      if (strcmp (sending->id, id) == 0)
        last = sending;
    }
  if (last == NULL || !last->answered)
    script_fail (script, "line %u: %s has no answer", script->scanner->line,
                 id);
  else if (strcmp (outcome_name (last->outcome), wanted) != 0)
    script_fail (script, "line %u: %s ended as %s", script->scanner->line, id,
                 outcome_name (last->outcome));
}

/* expect gone N within T: it has left by itself.  */
static void
expect_gone (struct script *script)
{
  guint n = script_node (script);
  gint64 until = take_within (script);

  while (!script->world.nodes[n].left && script->world.now < until
         && script->fault[0] == '\0')
    script_run_until (script, MIN (until, script->world.now + POLL_USEC));
  if (!script->world.nodes[n].left)
    script_fail (script, "line %u: n%u has not left", script->scanner->line,
                 n + 1);
}

/* expect idle N for T: its server begins no run in that time.  */
static void
expect_idle (struct script *script)
{
  guint n = script_node (script);
  guint first = script->world.runs->len;
  guint i;

  if (!script_word (script, "for"))
    script_fail (script, "line %u: for how long?", script->scanner->line);
  script_run_until (script,
                    script->world.now
                        + (gint64)(script_number (script) * G_USEC_PER_SEC));
  for (i = first; i < script->world.runs->len; i++)
    if (g_array_index (script->world.runs, struct fake_run, i).node == n)
      script_fail (script, "line %u: n%u began new work",
                   script->scanner->line, n + 1);
}

/* expect owner K (not N | N).  */
static void
expect_owner (struct script *script)
{
  guint32 slice = slice_of (script, script_name (script));
  gboolean other = script_word (script, "not");
  guint n = script_node (script);
  guint owner = 0;
  gboolean owns
      = check_owners (&script->world, slice, &owner) == 1 && owner == n;

  if (owns == other)
    script_fail (script, "line %u: n%u %s the owner", script->scanner->line,
                 n + 1, owns ? "is" : "is not");
}

/* Expect that no request that came in since the start was cut: none ended as
   unknown.  */
static void
expect_none_cut (struct script *script)
{
  guint i;

  for (i = 0; i < script->world.sendings->len; i++)
    {
      const struct sending *sending
          = &g_array_index (script->world.sendings, struct sending, i);
      if (sending->answered && sending->outcome == OUTCOME_UNKNOWN)
        script_fail (script, "line %u: %s sent at %.3f was cut",
                     script->scanner->line, sending->id,
                     (double)sending->sent / G_USEC_PER_SEC);
    }
}

/* Expect that what was answered as not run has not run, up to now.  */
static void
expect_not_run (struct script *script)
{
  guint i;

  for (i = 0; i < script->world.sendings->len; i++)
    check_sending (&script->world, i);
  if (script->world.fault[0] != '\0')
    script_fail (script, "%s", script->world.fault);
}

/* Do one expectation.  */
void
script_expect (struct script *script)
{
  guint owner = 0;

  if (script_word (script, "owners"))
    compare (script, "owners",
             check_owners (&script->world,
                           slice_of (script, script_name (script)), &owner));
  else if (script_word (script, "served"))
    expect_served (script);
  else if (script_word (script, "all-served"))
    expect_all_served (script);
  else if (script_word (script, "runs"))
    compare (script, "runs",
             check_runs (&script->world, script_name (script)));
  else if (script_word (script, "outcome"))
    expect_outcome (script);
  else if (script_word (script, "config"))
    expect_config (script);
  else if (script_word (script, "gone"))
    expect_gone (script);
  else if (script_word (script, "idle"))
    expect_idle (script);
  else if (script_word (script, "owner"))
    expect_owner (script);
  else if (script_word (script, "none-cut"))
    expect_none_cut (script);
  else if (script_word (script, "crashes"))
    compare (script, "crashes", script->world.crashes);
  else if (script_word (script, "not-run-means-not-run"))
    expect_not_run (script);
  else
    script_fail (script, "line %u: nothing that can be expected",
                 script->scanner->line);
}

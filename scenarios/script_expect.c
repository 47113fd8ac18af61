#include "scenarios/check.h"
#include "scenarios/script.h"

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

  return service != NULL && script->world.slice_count > 0
             ? slice_of_key (service, key)
             : 0;
}

/* Compare COUNT as the script says: <= N, >= N or = N.  */
static void
compare (struct script *script, const char *what, guint count)
{
  gboolean below = script_accept_char (script, '<');
  gboolean above = !below && script_accept_char (script, '>');
  gboolean holds;
  guint wanted;

  if (!script_accept_char (script, '='))
    script_fail (script, "line %u: <=, >= or = is wanted",
                 script->scanner->line);
  wanted = (guint)script_read_number (script);
  holds = below ? count <= wanted : above ? count >= wanted : count == wanted;
  if (!holds)
    script_fail (script, "line %u: %s is %u", script->scanner->line, what,
                 count);
}

/* The time that `within T' gives, from now; without it none.  */
gint64
script_read_deadline (struct script *script)
{
  return script_accept_word (script, "within")
             ? script->world.now
                   + (gint64)(script_read_number (script) * G_USEC_PER_SEC)
             : script->world.now;
}

/* Tell whether the last sending of ID ended as NAME says.  */
static void
expect_outcome (struct script *script)
{
  char id[REQUEST_ID_SIZE];
  const struct submission *last = NULL;
  const char *wanted;
  guint i;

  g_strlcpy (id, script_read_name (script), sizeof id);
  wanted = script_read_name (script);
  for (i = 0; i < script->world.submissions->len; i++)
    {
      const struct submission *submission
          = &g_array_index (script->world.submissions, struct submission, i);
      if (strcmp (submission->id, id) == 0)
        last = submission;
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
  guint n = script_read_node (script);
  gint64 until = script_read_deadline (script);

  while (!script->world.nodes[n].drained && script->world.now < until
         && script->failure[0] == '\0')
    script_run_until (script, MIN (until, script->world.now + POLL_USEC));
  if (!script->world.nodes[n].drained)
    script_fail (script, "line %u: n%u has not left", script->scanner->line,
                 n + 1);
}

/* expect idle N for T: its server begins no run in that time.  */
static void
expect_idle (struct script *script)
{
  guint n = script_read_node (script);
  guint first = script->world.runs->len;
  guint i;

  if (!script_accept_word (script, "for"))
    script_fail (script, "line %u: for how long?", script->scanner->line);
  script_run_until (
      script, script->world.now
                  + (gint64)(script_read_number (script) * G_USEC_PER_SEC));
  for (i = first; i < script->world.runs->len; i++)
    if (g_array_index (script->world.runs, struct fake_run, i).node == n)
      script_fail (script, "line %u: n%u began new work",
                   script->scanner->line, n + 1);
}

/* expect owner K (not N | N).  */
static void
expect_owner (struct script *script)
{
  guint32 slice = slice_of (script, script_read_name (script));
  gboolean other = script_accept_word (script, "not");
  guint n = script_read_node (script);
  guint owner = 0;
  gboolean owns
      = check_count_owners (&script->world, slice, &owner) == 1 && owner == n;

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

  for (i = 0; i < script->world.submissions->len; i++)
    {
      const struct submission *submission
          = &g_array_index (script->world.submissions, struct submission, i);
      if (submission->answered && submission->outcome == OUTCOME_UNKNOWN)
        script_fail (script, "line %u: %s sent at %.3f was cut",
                     script->scanner->line, submission->id,
                     (double)submission->sent_at / G_USEC_PER_SEC);
    }
}

/* Expect that what was answered as not run has not run, up to now.  */
static void
expect_not_run (struct script *script)
{
  guint i;

  for (i = 0; i < script->world.submissions->len; i++)
    check_submission (&script->world, i);
  if (script->world.failure[0] != '\0')
    script_fail (script, "%s", script->world.failure);
}

/* Do one expectation.  */
void
script_expect (struct script *script)
{
  guint owner = 0;

  if (script_accept_word (script, "owners"))
    compare (script, "owners",
             check_count_owners (&script->world,
                                 slice_of (script, script_read_name (script)),
                                 &owner));
  else if (script_accept_word (script, "served"))
    script_expect_served (script);
  else if (script_accept_word (script, "all-served"))
    script_expect_all_served (script);
  else if (script_accept_word (script, "runs"))
    compare (script, "runs",
             check_count_runs (&script->world, script_read_name (script)));
  else if (script_accept_word (script, "outcome"))
    expect_outcome (script);
  else if (script_accept_word (script, "config"))
    script_expect_config (script);
  else if (script_accept_word (script, "gone"))
    expect_gone (script);
  else if (script_accept_word (script, "idle"))
    expect_idle (script);
  else if (script_accept_word (script, "owner"))
    expect_owner (script);
  else if (script_accept_word (script, "none-cut"))
    expect_none_cut (script);
  else if (script_accept_word (script, "crashes"))
    compare (script, "crashes", script->world.crash_count);
  else if (script_accept_word (script, "not-run-means-not-run"))
    expect_not_run (script);
  else
    script_fail (script, "line %u: nothing that can be expected",
                 script->scanner->line);
}

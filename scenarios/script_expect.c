#include "scenarios/check.h"
#include "scenarios/script.h"

#include "decide/slice.h"

#include <string.h>

/* Statements that state an expectation.  */

#define POLL_INTERVAL_USEC 50000 /* between checks of an expectation */

/* Return the slice of KEY according to the log, 0 if the service is
   undivided.  */
static guint32
slice_of (const struct script *script, const char *key)
{
  const struct view_service *service
      = view_find_service (&script->world.log.view, WORLD_SERVICE);

  return service != NULL && script->world.slice_count > 0
             ? slice_of_key (service, key)
             : 0;
}

/* Fail unless COUNT satisfies the comparison in the script: <= N, >= N or = N.
   NAME names the count in the message.  */
static void
expect_count (struct script *script, const char *name, guint count)
{
  gboolean below = script_accept_char (script, '<');
  gboolean above = !below && script_accept_char (script, '>');
  gboolean holds;
  guint expected;

  if (!script_accept_char (script, '='))
    script_fail (script, "line %u: <=, >= or = expected",
                 script->scanner->line);
  expected = (guint)script_read_number (script);
  holds = below   ? count <= expected
          : above ? count >= expected
                  : count == expected;
  if (!holds)
    script_fail (script, "line %u: %s is %u", script->scanner->line, name,
                 count);
}

/* Read an optional `within T' and return the simulated time by which the
   expectation must hold; without it, the current time.  */
gint64
script_read_deadline (struct script *script)
{
  return script_accept_word (script, "within")
             ? script->world.now
                   + (gint64)(script_read_number (script) * G_USEC_PER_SEC)
             : script->world.now;
}

/* expect outcome R (done | not-run | unknown): the last submission of request
   R ended so.  */
static void
expect_outcome (struct script *script)
{
  char id[REQUEST_ID_SIZE];
  const struct submission *last = NULL;
  const char *expected;
  guint i;

  g_strlcpy (id, script_read_name (script), sizeof id);
  expected = script_read_name (script);
  for (i = 0; i < script->world.submissions->len; i++)
    {
      const struct submission *submission
          = &g_array_index (script->world.submissions, struct submission, i);
      if (strcmp (submission->id, id) == 0)
        last = submission;
    }
  if (last == NULL || !last->answered)
    script_fail (script, "line %u: %s was not answered", script->scanner->line,
                 id);
  else if (strcmp (outcome_name (last->outcome), expected) != 0)
    script_fail (script, "line %u: %s ended as %s", script->scanner->line, id,
                 outcome_name (last->outcome));
}

/* expect gone N within T: the node has drained and exited by then.  */
static void
expect_gone (struct script *script)
{
  guint n = script_read_node (script);
  gint64 until = script_read_deadline (script);

  while (!script->world.nodes[n].drained && script->world.now < until
         && script->failure[0] == '\0')
    script_run_until (script,
                      MIN (until, script->world.now + POLL_INTERVAL_USEC));
  if (!script->world.nodes[n].drained)
    script_fail (script, "line %u: n%u has not exited", script->scanner->line,
                 n + 1);
}

/* expect idle N for T: the server beside node N begins no run in that
   time.  */
static void
expect_idle (struct script *script)
{
  guint n = script_read_node (script);
  guint first = script->world.runs->len;
  guint i;

  if (!script_accept_word (script, "for"))
    script_fail (script, "line %u: `for T' expected", script->scanner->line);
  script_run_until (
      script, script->world.now
                  + (gint64)(script_read_number (script) * G_USEC_PER_SEC));
  for (i = first; i < script->world.runs->len; i++)
    if (g_array_index (script->world.runs, struct fake_run, i).node == n)
      script_fail (script, "line %u: the server of n%u began a run",
                   script->scanner->line, n + 1);
}

/* expect owner K (not N | N): node N is (not) the only owner of K's slice.  */
static void
expect_owner (struct script *script)
{
  guint32 slice = slice_of (script, script_read_name (script));
  gboolean negated = script_accept_word (script, "not");
  guint n = script_read_node (script);
  guint owner = 0;
  gboolean owns
      = check_count_owners (&script->world, slice, &owner) == 1 && owner == n;

  if (owns == negated)
    script_fail (script, "line %u: n%u %s the owner", script->scanner->line,
                 n + 1, owns ? "is" : "is not");
}

/* expect none-cut: no submission since the start ended with an unknown
   outcome.  */
static void
expect_none_cut (struct script *script)
{
  guint i;

  for (i = 0; i < script->world.submissions->len; i++)
    {
      const struct submission *submission
          = &g_array_index (script->world.submissions, struct submission, i);
      if (submission->answered && submission->outcome == OUTCOME_UNKNOWN)
        script_fail (script, "line %u: %s submitted at %.3f ended as unknown",
                     script->scanner->line, submission->id,
                     (double)submission->sent_at / G_USEC_PER_SEC);
    }
}

/* expect not-run-means-not-run: check all submissions so far against their
   answers.  */
static void
expect_not_run (struct script *script)
{
  guint i;

  for (i = 0; i < script->world.submissions->len; i++)
    check_submission (&script->world, i);
  if (script->world.failure[0] != '\0')
    script_fail (script, "%s", script->world.failure);
}

/* Run an expect statement whose first word has been read.  */
void
script_expect (struct script *script)
{
  guint owner = 0;

  if (script_accept_word (script, "owners"))
    expect_count (script, "owners",
                  check_count_owners (
                      &script->world,
                      slice_of (script, script_read_name (script)), &owner));
  else if (script_accept_word (script, "served"))
    script_expect_served (script);
  else if (script_accept_word (script, "all-served"))
    script_expect_all_served (script);
  else if (script_accept_word (script, "runs"))
    expect_count (
        script, "runs",
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
    expect_count (script, "crashes", script->world.crash_count);
  else if (script_accept_word (script, "not-run-means-not-run"))
    expect_not_run (script);
  else
    script_fail (script, "line %u: unknown expectation",
                 script->scanner->line);
}

#include "edge/counters.h"

/* Add one line.  */
static void
add (GString *text, const char *name, guint64 value)
{
  g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", name, value);
}

/* Write the counters as lines of name and value; free the text with
   g_free.  */
char *
counters_format (const struct counters *counters)
{
  GString *text = g_string_new (NULL);
  guint i;

  add (text, "requests", counters->requests);
  add (text, "from_peers", counters->from_peers);
  add (text, "run", counters->run);
  add (text, "forwarded", counters->forwarded);
  add (text, "retried", counters->retried);
  add (text, "bytes_in", counters->bytes_in);
  add (text, "bytes_out", counters->bytes_out);
  add (text, "control_calls", counters->control_calls);
  add (text, "appends", counters->appends);
  add (text, "records", counters->records);
  for (i = 0; i < G_N_ELEMENTS (counters->outcomes); i++)
    g_string_append_printf (text, "outcome{%s} %" G_GUINT64_FORMAT "\n",
                            outcome_name ((enum outcome)i),
                            counters->outcomes[i]);
  for (i = 0; i < REASON_COUNT; i++)
    if (counters->refused[i] > 0)
      g_string_append_printf (text, "refused{%s} %" G_GUINT64_FORMAT "\n",
                              reason_name ((enum reason)i),
                              counters->refused[i]);
  return g_string_free (text, FALSE);
}

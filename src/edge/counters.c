#include "edge/counters.h"

/* Append a line with NAME and VALUE.  */
static void
add_line (GString *text, const char *name, guint64 value)
{
  g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", name, value);
}

/* Format the counters as lines of name and value.  Free the text with
   g_free.  */
char *
counters_format (const struct counters *counters)
{
  GString *text = g_string_new (NULL);
  guint i;

  add_line (text, "requests", counters->requests);
  add_line (text, "from_peers", counters->from_peers);
  add_line (text, "run", counters->run);
  add_line (text, "forwarded", counters->forwarded);
  add_line (text, "retried", counters->retried);
  add_line (text, "bytes_in", counters->bytes_in);
  add_line (text, "bytes_out", counters->bytes_out);
  add_line (text, "control_calls", counters->control_calls);
  add_line (text, "appends", counters->appends);
  add_line (text, "records", counters->records);
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

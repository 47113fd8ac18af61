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

  add (text, "requests", counters->caller_requests);
  add (text, "from_peers", counters->peer_requests);
  add (text, "run", counters->server_runs);
  add (text, "forwarded", counters->forwarded_attempts);
  add (text, "retried", counters->retried_attempts);
  add (text, "bytes_in", counters->request_bytes);
  add (text, "bytes_out", counters->answer_bytes);
  add (text, "control_calls", counters->control_calls);
  add (text, "appends", counters->appends_sent);
  add (text, "records", counters->records_read);
  for (i = 0; i < G_N_ELEMENTS (counters->ended_by_outcome); i++)
    g_string_append_printf (text, "outcome{%s} %" G_GUINT64_FORMAT "\n",
                            outcome_name ((enum outcome)i),
                            counters->ended_by_outcome[i]);
  for (i = 0; i < REASON_COUNT; i++)
    if (counters->refused_by_reason[i] > 0)
      g_string_append_printf (text, "refused{%s} %" G_GUINT64_FORMAT "\n",
                              reason_name ((enum reason)i),
                              counters->refused_by_reason[i]);
  return g_string_free (text, FALSE);
}

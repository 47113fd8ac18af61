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

  add_line (text, "requests", counters->caller_requests);
  add_line (text, "left_before_read", counters->left_before_read);
  add_line (text, "from_peers", counters->peer_requests);
  add_line (text, "cancelled_before_start", counters->cancelled_before_start);
  add_line (text, "expired_on_link", counters->expired_on_link);
  add_line (text, "run", counters->server_runs);
  add_line (text, "forwarded", counters->forwarded_attempts);
  add_line (text, "retried", counters->retried_attempts);
  add_line (text, "bytes_in", counters->request_bytes);
  add_line (text, "bytes_out", counters->answer_bytes);
  add_line (text, "control_calls", counters->control_calls);
  add_line (text, "appends", counters->appends_sent);
  add_line (text, "records", counters->records_read);
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

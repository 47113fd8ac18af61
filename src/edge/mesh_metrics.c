#include "edge/mesh_node.h"

#include "edge/journal.h"
#include "types/clock.h"

/* Add one line.  */
static void
add (GString *text, const char *name, gint64 value)
{
  g_string_append_printf (text, "%s %" G_GINT64_FORMAT "\n", name, value);
}

/* Add how often each numbered event came.  */
static void
add_notes (GString *text, GHashTable *notes)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, notes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_string_append_printf (
        text, "events{name=\"%s\"} %u\n",
        log_event_name ((enum log_event_id)GPOINTER_TO_INT (key)),
        GPOINTER_TO_UINT (value));
}

/* Write counters, gauges and histograms as text; free it with g_free.  */
char *
mesh_node_metrics (gpointer data)
{
  struct mesh_node *node = data;
  struct mesh *mesh = &node->mesh;
  gint64 now = clock_usec ();
  char *counters = counters_format (&node->proxy.counters);
  GString *text = g_string_new (counters);

  g_free (counters);
  add (text, "config_version",
       mesh->routing != NULL ? (gint64)mesh->routing->version : 0);
  add (text, "records_folded", (gint64)mesh->fleet.applied_offset);
  add (text, "session_left_ms",
       session_remaining_usec (&mesh->session, now) / USEC_PER_MSEC);
  add (text, "store_lost", mesh->store_lost);
  add (text, "members", mesh->fleet.members.count);
  add (text, "requests_in_hand", mesh->requests.count);
  add (text, "gate_running", mesh->admission.busy_slots);
  add (text, "gate_waiting", mesh->admission.queue->len);
  add (text, "gate_slots", mesh->admission.slots);
  add (text, "keys_granted_rows", mesh->grant.granted_count);
  add (text, "store_newest_calls",
       (gint64)node->store.call_counts[STORE_NEWEST]);
  add (text, "store_read_calls", (gint64)node->store.call_counts[STORE_READ]);
  add (text, "store_append_calls",
       (gint64)node->store.call_counts[STORE_APPEND]);
  add (text, "store_failed_calls", (gint64)node->store.failed_calls);
  add (text, "log_lines_dropped", (gint64)journal_dropped_lines ());
  add (text, "server_runs_failed", (gint64)node->failed_server_runs);
  add_notes (text, node->log_event_counts);
  latency_format (&node->request_latency, "request", text);
  latency_format (&node->server_latency, "server_run", text);
  latency_format (&node->queue_latency, "server_wait", text);
  return g_string_free (text, FALSE);
}

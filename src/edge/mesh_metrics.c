#include "edge/mesh_node.h"

#include "edge/held_bytes.h"
#include "edge/journal.h"
#include "mesh/mesh_parts.h"
#include "types/clock.h"

#include <string.h>

/* Append a line with NAME and VALUE.  */
static void
add_line (GString *text, const char *name, gint64 value)
{
  g_string_append_printf (text, "%s %" G_GINT64_FORMAT "\n", name, value);
}

/* Append how often each kind of log event occurred; COUNTS maps the event's id
   to its count.  */
static void
add_event_counts (GString *text, GHashTable *counts)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_string_append_printf (
        text, "events{name=\"%s\"} %u\n",
        log_event_name ((enum log_event_id)GPOINTER_TO_INT (key)),
        GPOINTER_TO_UINT (value));
}

/* Append which duties of reading the node holds, and the age of the last read
   for each that it knows of.  */
static void
add_duties (GString *text, const struct mesh *mesh, gint64 now)
{
  guint slot;

  for (slot = 0; slot < READING_SLOTS; slot++)
    {
      const struct reading_duty *duty = &mesh->duties[slot];
      g_string_append_printf (
          text,
          "reading_held{duty=\"%s\"} %d\n"
          "reading_age_ms{duty=\"%s\"} %" G_GINT64_FORMAT "\n",
          reading_slot_name (slot), mesh_duty_holds (mesh, slot, now),
          reading_slot_name (slot), mesh_age_msec (duty->renewed_at, now));
    }
}

/* Append which data centres are evacuated, and whether the own one is.  */
static void
add_evacuations (GString *text, const struct mesh *mesh)
{
  const struct evacuated_zones *zones = &mesh->evacuations.zones;
  guint32 i;

  add_line (text, "evacuations_dropped", mesh->evacuations.dropped_count);
  g_string_append_printf (text, "evacuated{zone=\"%s\"} %d\n",
                          mesh->settings.zone,
                          mesh_evacuation_is_local (mesh));
  for (i = 0; i < zones->count; i++)
    if (strcmp (zones->names[i], mesh->settings.zone) != 0)
      g_string_append_printf (text, "evacuated{zone=\"%s\"} 1\n",
                              zones->names[i]);
}

/* Format the counters, gauges and latency histograms of the node DATA as
   metrics text.  Free the text with g_free.  */
char *
mesh_node_metrics (gpointer data)
{
  struct mesh_node *node = data;
  struct mesh *mesh = &node->mesh;
  gint64 now = clock_usec ();
  char *counters = counters_format (&node->proxy.counters);
  GString *text = g_string_new (counters);

  g_free (counters);
  add_line (text, "config_version",
            mesh->routing != NULL ? (gint64)mesh->routing->version : 0);
  add_line (text, "config_faults",
            mesh->routing != NULL ? mesh->routing->fault_count : 0);
  add_line (text, "config_unreadable", node->config_skipped);
  add_line (
      text, "config_age_ms",
      mesh_age_msec (mesh->freshness[MESH_TOPIC_CONFIG].confirmed_at, now));
  add_line (text, "config_newest_known", (gint64)mesh->newest_config.version);
  add_line (text, "config_behind_ms", mesh_behind_msec (mesh, now));
  g_string_append_printf (text, "config_source{node=\"%s\"} 1\n",
                          mesh_routing_source (mesh));
  add_evacuations (text, mesh);
  add_duties (text, mesh, now);
  add_line (text, "records_folded", (gint64)mesh->fleet.applied_offset);
  add_line (text, "store_era", (gint64)mesh->era);
  add_line (text, "session_left_ms",
            session_remaining_usec (&mesh->freshness[MESH_TOPIC_FLEET], now)
                / USEC_PER_MSEC);
  add_line (text, "store_lost", mesh->store_lost);
  add_line (text, "members", mesh->fleet.members.count);
  add_line (text, "requests_suspected",
            g_hash_table_size (mesh->fleet.quarantine.entries));
  add_line (text, "requests_quarantined",
            quarantine_held_count (&mesh->fleet.quarantine));
  add_line (text, "requests_not_valid",
            (gint64)node->proxy.callers.refused_count);
  add_line (text, "requests_started_ahead",
            (gint64)node->proxy.callers.ahead_count);
  add_line (text, "calls_not_valid",
            (gint64)node->control_api.http_server.refused_count);
  add_line (text, "held_bytes", (gint64)held_bytes_state ().held);
  add_line (text, "held_bytes_limit", (gint64)held_bytes_state ().limit);
  add_line (text, "link_waiting", node->proxy.long_responses->len);
  add_line (text, "requests_in_hand", mesh->requests.count);
  add_line (text, "gate_running", mesh->admission.busy_slots);
  add_line (text, "gate_waiting", mesh->admission.queue->len);
  add_line (text, "gate_slots", mesh->admission.slots);
  add_line (text, "server_cold_left_ms",
            warmup_left_usec (&mesh->admission.warmup, now) / USEC_PER_MSEC);
  add_line (text, "keys_granted_rows",
            grant_range_count (&mesh->grant, clock_usec ()));
  add_line (text, "store_newest_calls",
            (gint64)node->store.call_counts[STORE_NEWEST]);
  add_line (text, "store_read_calls",
            (gint64)node->store.call_counts[STORE_READ]);
  add_line (text, "store_append_calls",
            (gint64)node->store.call_counts[STORE_APPEND]);
  add_line (text, "store_failed_calls", (gint64)node->store.failed_calls);
  add_line (text, "configs_too_large", (gint64)node->oversize_configs);
  add_line (text, "records_too_large", (gint64)node->oversize_records);
  add_line (text, "log_lines_dropped", (gint64)journal_dropped_lines ());
  add_line (text, "server_runs_failed", (gint64)node->failed_server_runs);
  add_event_counts (text, node->log_event_counts);
  latency_format (&node->request_latency, "request", text);
  latency_format (&node->server_latency, "server_run", text);
  latency_format (&node->queue_latency, "server_wait", text);
  latency_format (&node->tick_latency, "tick_interval", text);
  return g_string_free (text, FALSE);
}

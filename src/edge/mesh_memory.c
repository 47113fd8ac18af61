#include "edge/mesh_node.h"

#include "edge/held_bytes.h"

#define BYTES_PER_KB 1024u

/* Log that the process has reached a limit, or that it is below it again, with
   STATE.  */
static void
log_memory (struct mesh_node *node, const struct held_bytes_state *state,
            const char *outcome)
{
  struct log_event log_event = { .id = LOG_EVENT_MESH_MEMORY };

  g_snprintf (log_event.detail, sizeof log_event.detail,
              "outcome=%s held_kb=%" G_GUINT64_FORMAT
              " limit_kb=%" G_GUINT64_FORMAT
              " connections=%u closed=%" G_GUINT64_FORMAT,
              outcome, state->held / BYTES_PER_KB, state->limit / BYTES_PER_KB,
              state->connections, state->closed);
  mesh_node_log (node, &log_event);
}

/* Keep what the process holds within its budget, and log when it is short.  */
void
mesh_node_watch_memory (struct mesh_node *node)
{
  struct held_bytes_state state;

  held_bytes_step ();
  state = held_bytes_state ();
  if (!node->memory_short && state.is_short)
    {
      node->memory_short = TRUE;
      log_memory (node, &state, "reached");
    }
  else if (node->memory_short && !state.is_short && state.is_relieved)
    {
      node->memory_short = FALSE;
      log_memory (node, &state, "left");
    }
}

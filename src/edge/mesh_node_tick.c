#include "edge/mesh_node.h"

#include "types/clock.h"

#define TICK_MSEC 25u /* period of the timer */

/* Return whether this node reads the fleet topic itself, not through another
   node.  */
gboolean
mesh_node_reads_fleet (gpointer data)
{
  struct mesh_node *node = data;

  return mesh_reads_fleet (&node->mesh, clock_usec ());
}

/* Return whether this node reads the configuration topic itself, not through
   another node.  */
gboolean
mesh_node_reads_config (gpointer data)
{
  struct mesh_node *node = data;

  return mesh_reads_config (&node->mesh, clock_usec ());
}

/* Pass EVENT_TICK to the decision logic.  */
static void
send_tick (struct mesh_node *node, gboolean input_may_follow)
{
  struct event event = { .kind = EVENT_TICK };

  event.u.tick.pending_exchanges = proxy_pending_count (&node->proxy)
                                   + store_pending_appends (&node->store);
  event.u.tick.input_may_follow = input_may_follow;
  mesh_node_handle_event (node, &event);
}

/* Send a tick that no input follows.  */
static void
on_quiet_turn (gpointer data)
{
  send_tick (data, FALSE);
}

/* Run the periodic work: request deadlines, topic reads, a check of the
   settings file, and EVENT_TICK.  */
static gboolean
on_tick (gpointer data)
{
  struct mesh_node *node = data;
  gint64 now = clock_usec ();

  latency_add (&node->tick_latency, now - node->mesh.last_tick_at);
  mesh_node_watch_memory (node);
  proxy_expire (&node->proxy, now);
  control_api_expire (&node->control_api, now);
  if (mesh_node_reads_fleet (node))
    topic_reader_step (&node->fleet_reader, now);
  if (mesh_node_reads_config (node))
    topic_reader_step (&node->config_reader, now);
  mesh_node_check_file (node, now);
  send_tick (node, TRUE);
  if (node->proxy.leaving)
    quiet_turn_request (&node->quiet_turn, on_quiet_turn, node);
  return G_SOURCE_CONTINUE;
}

/* Start the timer.  */
void
mesh_node_tick_start (struct mesh_node *node)
{
  node->tick_timer = g_timeout_add (TICK_MSEC, on_tick, node);
}

/* Stop the timer.  */
void
mesh_node_tick_stop (struct mesh_node *node)
{
  if (node->tick_timer != 0)
    g_source_remove (node->tick_timer);
  quiet_turn_cancel (&node->quiet_turn);
}

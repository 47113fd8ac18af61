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

/* Send a tick in a turn of the loop in which no input was ready: the loop
   dispatches a source of low priority only then.  */
static gboolean
on_quiet_turn (gpointer data)
{
  struct mesh_node *node = data;

  node->quiet_source = 0;
  send_tick (node, FALSE);
  return G_SOURCE_REMOVE;
}

/* Run the periodic work: request deadlines, topic reads, a check of the
   settings file, and EVENT_TICK.  */
static gboolean
on_tick (gpointer data)
{
  struct mesh_node *node = data;
  gint64 now = clock_usec ();

  latency_add (&node->tick_latency, now - node->mesh.last_tick_at);
  proxy_expire (&node->proxy, now);
  if (mesh_node_reads_fleet (node))
    topic_reader_step (&node->fleet_reader, now);
  if (mesh_node_reads_config (node))
    topic_reader_step (&node->config_reader, now);
  mesh_node_check_file (node, now);
  send_tick (node, TRUE);
  if (node->proxy.leaving && node->quiet_source == 0)
    node->quiet_source
        = g_idle_add_full (G_PRIORITY_LOW, on_quiet_turn, node, NULL);
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
  if (node->quiet_source != 0)
    g_source_remove (node->quiet_source);
}

#include "edge/mesh_node.h"

#include "edge/held_bytes.h"
#include "edge/journal.h"
#include "types/clock.h"

#include <string.h>
#include <sys/random.h>

/* Events */

/* Count LOG_EVENT for the metrics, and write it to the log.  */
void
mesh_node_log (struct mesh_node *node, const struct log_event *log_event)
{
  gpointer key = GINT_TO_POINTER (log_event->id);
  guint count
      = GPOINTER_TO_UINT (g_hash_table_lookup (node->log_event_counts, key));

  g_hash_table_insert (node->log_event_counts, key,
                       GUINT_TO_POINTER (count + 1));
  journal_log_event (log_event);
}

/* Pass EVENT to the decision logic and perform the resulting actions.  */
static void
handle_one (struct mesh_node *node, const struct event *event)
{
  gint64 now = clock_usec ();
  struct actions actions;
  guint i;

  actions_init (&actions);
  mesh_step (&node->mesh, event, now, &actions);
  node->proxy.load = mesh_load_report (&node->mesh, now);
  for (i = 0; i < actions.items->len; i++)
    mesh_node_perform (node, actions_at (&actions, i));
  actions_clear (&actions);
}

/* Pass EVENT to the decision logic.  An event that arises while another is
   being handled is copied and deferred until that one is done; such events
   must not contain pointers.  */
void
mesh_node_handle_event (struct mesh_node *node, const struct event *event)
{
  struct event *deferred;

  if (node->is_processing)
    {
      g_queue_push_tail (node->deferred_events,
                         g_memdup2 (event, sizeof (struct event)));
      return;
    }
  node->is_processing = TRUE;
  handle_one (node, event);
  for (deferred = g_queue_pop_head (node->deferred_events); deferred != NULL;
       deferred = g_queue_pop_head (node->deferred_events))
    {
      handle_one (node, deferred);
      g_free (deferred);
    }
  node->is_processing = FALSE;
}

/* Record the latencies of an attempt that ended as EVENT says.  */
static void
measure_attempt (struct mesh_node *node,
                 const struct event_attempt_ended *event)
{
  const struct mesh_request *request
      = table_get (&node->mesh.requests, event->exchange);
  gint64 now = clock_usec ();

  if (request == NULL)
    return;
  if (request->phase == MESH_REQUEST_RUNNING)
    {
      latency_add (&node->queue_latency,
                   request->sent_at - request->arrived_at);
      if (event->outcome == OUTCOME_UNKNOWN
          || event->http_status >= HTTP_STATUS_SERVER_ERROR)
        node->failed_server_runs++;
    }
  if (event->outcome != OUTCOME_DONE)
    return;
  if (!request->request.forwarded)
    latency_add (&node->request_latency, now - request->arrived_at);
  if (request->phase == MESH_REQUEST_RUNNING)
    latency_add (&node->server_latency, now - request->sent_at);
}

/* Handle an event of a request.  */
static void
on_proxy_event (const struct event *event, gpointer data)
{
  struct mesh_node *node = data;

  if (event->kind == EVENT_ATTEMPT_ENDED)
    measure_attempt (node, &event->u.attempt_ended);
  mesh_node_handle_event (node, event);
}

/* Handle a call of the backend server to the control API.  */
static void
on_control_event (const struct control_api_event *control, gpointer data)
{
  struct mesh_node *node = data;
  struct event event = { .kind = EVENT_HEARTBEAT };
  struct log_event log_event = { .id = LOG_EVENT_MESH_BAD_INPUT };

  switch (control->kind)
    {
    case CONTROL_API_HEARTBEAT:
      event.u.heartbeat.call_id = control->call.bits;
      event.u.heartbeat.heartbeat = control->heartbeat;
      mesh_node_handle_event (node, &event);
      break;
    case CONTROL_API_DEREGISTER:
      event.kind = EVENT_DEREGISTER;
      event.u.deregister.call_id = control->call.bits;
      event.u.deregister.at_msec = g_get_real_time () / USEC_PER_MSEC;
      g_strlcpy (event.u.deregister.server_id, control->instance_id,
                 sizeof event.u.deregister.server_id);
      mesh_node_handle_event (node, &event);
      break;
    case CONTROL_API_MALFORMED:
      g_strlcpy (log_event.text, control->instance_id, sizeof log_event.text);
      g_strlcpy (log_event.detail, "what=beat outcome=refused",
                 sizeof log_event.detail);
      mesh_node_log (node, &log_event);
      break;
    }
}

/* Return whether the platform may send callers to this node.  */
static gboolean
is_ready (gpointer data)
{
  struct mesh_node *node = data;

  return mesh_is_ready (&node->mesh);
}

/* Setup and teardown */

/* Initialize the data path.  Return the error of listening for peers.  */
static enum err
init_proxy (struct mesh_node *node)
{
  const struct proxy_owner owner = { on_proxy_event, mesh_node_on_link, node };
  enum err code
      = proxy_init (&node->proxy, node->config.mesh.peer_address, &owner);

  node->proxy.self_incarnation = node->mesh.settings.incarnation;
  node->proxy.server_address = node->config.mesh.server_address;
  node->proxy.buffer_responses = TRUE;
  node->proxy.dialect.kind = DIALECT_PLATFORM;
  node->proxy.dialect.u.platform.caller_service = node->mesh.settings.service;
  return code;
}

/* Pass the end of a call for keys of the server to the decision logic.  */
static void
on_key_order (const struct key_order_result *result, gpointer data)
{
  struct event event = { .kind = EVENT_KEY_ORDER_ENDED };

  event.u.key_order_ended = *result;
  mesh_node_handle_event (data, &event);
}

/* Initialize the client of the store and the readers of its topics.  */
static void
init_store (struct mesh_node *node)
{
  store_init (&node->store, &node->proxy.http, node->config.store_address);
  topic_reader_init (&node->fleet_reader, &node->store, STORE_TOPIC_FLEET,
                     mesh_node_on_fleet, mesh_node_reads_fleet, node);
  topic_reader_init (&node->config_reader, &node->store, STORE_TOPIC_CONFIG,
                     mesh_node_on_config, mesh_node_reads_config, node);
}

/* Start a node with the settings in CONFIG, which were read from FILE.  FILE
   must outlive the node.  Return ERR_IO if no random numbers are available, or
   the error of listening.  */
enum err
mesh_node_init (struct mesh_node *node, const struct mesh_config *config,
                const char *file)
{
  const struct control_api_handlers handlers
      = { on_control_event, is_ready, mesh_node_metrics, mesh_node_explain,
          node };
  enum err code;

  memset (node, 0, sizeof *node);
  node->config = *config;
  node->settings_file = file;
  node->settings_modified_at = mesh_node_file_mtime (file);
  if (getrandom (&node->config.mesh.incarnation, sizeof (guint64), 0) < 0
      || getrandom (&node->config.mesh.random_seed, sizeof (guint64), 0) < 0)
    return ERR_IO;
  node->deferred_events = g_queue_new ();
  node->log_event_counts = g_hash_table_new (NULL, NULL);
  node->config_bytes = g_byte_array_new ();
  node->listed_evacuations
      = g_array_new (FALSE, TRUE, sizeof (struct evacuation));
  node->loop = g_main_loop_new (NULL, FALSE);
  latency_init (&node->request_latency);
  latency_init (&node->server_latency);
  latency_init (&node->queue_latency);
  latency_init (&node->tick_latency);
  held_bytes_limit (config->memory_bytes, config->descriptors_max);
  mesh_init (&node->mesh, &node->config.mesh, clock_usec ());
  code = init_proxy (node);
  link_rate_set (&node->proxy.link_rate, config->link_mbit_per_s);
  init_store (node);
  key_orders_init (&node->key_orders, &node->proxy.http,
                   node->proxy.server_address, on_key_order, node);
  if (code == ERR_NONE)
    code = mesh_front_init (node);
  if (code == ERR_NONE)
    code = control_api_init (&node->control_api, config->control_address,
                             config->ready_address, config->metrics_address,
                             &handlers);
  if (code == ERR_NONE)
    mesh_node_tick_start (node);
  topic_reader_step (&node->fleet_reader, clock_usec ());
  topic_reader_step (&node->config_reader, clock_usec ());
  return code;
}

/* Stop a node immediately and release its resources.  */
void
mesh_node_clear (struct mesh_node *node)
{
  node->is_processing = TRUE;
  mesh_node_tick_stop (node);
  topic_reader_clear (&node->fleet_reader);
  topic_reader_clear (&node->config_reader);
  store_clear (&node->store);
  key_orders_clear (&node->key_orders);
  proxy_clear (&node->proxy);
  control_api_clear (&node->control_api);
  mesh_clear (&node->mesh);
  latency_clear (&node->request_latency);
  latency_clear (&node->server_latency);
  latency_clear (&node->queue_latency);
  latency_clear (&node->tick_latency);
  g_hash_table_destroy (node->log_event_counts);
  g_byte_array_unref (node->config_bytes);
  g_clear_pointer (&node->config_deflated, g_byte_array_unref);
  g_array_free (node->listed_evacuations, TRUE);
  g_queue_free_full (node->deferred_events, g_free);
  g_main_loop_unref (node->loop);
}

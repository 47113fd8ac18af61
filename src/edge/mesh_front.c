#include "edge/mesh_node.h"

/* Handle an event of a caller's request.  */
static void
on_caller (const struct http_server_event *event, gpointer data)
{
  struct mesh_node *node = data;

  source_caller_on_event (&node->proxy, event);
}

/* Return whether a request may run at the same time as others of its
   connection.  A node that is leaving lets callers go, one response at a
   time.  */
static gboolean
may_run_ahead (const struct http_request_head *head, gpointer data)
{
  const struct mesh_node *node = data;

  return !node->proxy.leaving
         && mesh_may_run_ahead (
             &node->mesh, soup_message_headers_get_one (head->headers, "Host"),
             head->target);
}

/* Start the HTTP server for callers at the configured address.  Return the
   error of listening.  */
enum err
mesh_front_init (struct mesh_node *node)
{
  http_server_init (&node->proxy.callers, on_caller, node);
  node->proxy.callers.is_bounded = TRUE;
  http_server_run_ahead (&node->proxy.callers, may_run_ahead);
  return http_server_listen (&node->proxy.callers,
                             node->config.caller_address);
}

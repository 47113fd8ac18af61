#include "edge/mesh_node.h"

/* Handle an event of a caller's request.  */
static void
on_caller (const struct http_server_event *event, gpointer data)
{
  struct mesh_node *node = data;

  source_caller_on_event (&node->proxy, event);
}

/* Start the HTTP server for callers at the configured address.  Return the
   error of listening.  */
enum err
mesh_front_init (struct mesh_node *node)
{
  http_server_init (&node->proxy.callers, on_caller, node);
  return http_server_listen (&node->proxy.callers,
                             node->config.caller_address);
}

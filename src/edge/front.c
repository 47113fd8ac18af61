#include "edge/node.h"

#include <string.h>

#define ADMIN_PREFIX "/bambootally/" /* paths of the node's own interface */

/* Handle the end of a request of an operator or of the backend server.  */
static void
handle_admin (struct node *node, const struct http_server_event *event)
{
  const char *query = strchr (event->head->target, '?');
  GHashTable *fields = query != NULL ? soup_form_decode (query + 1) : NULL;
  char *path
      = g_strndup (event->head->target + strlen (ADMIN_PREFIX),
                   strcspn (event->head->target, "?") - strlen (ADMIN_PREFIX));

  admin_handle (node, event, path, fields);
  g_free (path);
  if (fields != NULL)
    g_hash_table_destroy (fields);
}

/* Handle an event of a request of a caller, an operator or the backend
   server.  */
static void
on_request (const struct http_server_event *event, gpointer data)
{
  struct node *node = data;

  if (!g_str_has_prefix (event->head->target, ADMIN_PREFIX))
    source_caller_on_event (&node->proxy, event);
  else if (event->kind == HTTP_SERVER_BODY_END)
    handle_admin (node, event);
}

/* Listen for callers, operators and the backend server.  Return the error of
   listening.  */
enum err
front_init (struct node *node)
{
  http_server_init (&node->proxy.callers, on_request, node);
  return http_server_listen (&node->proxy.callers,
                             node->settings.core.front_address);
}

#include "edge/node.h"

#include <string.h>

#define ADMIN_PREFIX "/bambootally/" /* paths that are not requests */

/* Tell whether PATH is for operators or the backend server.  */
static gboolean
is_admin (const char *path)
{
  return g_str_has_prefix (path, ADMIN_PREFIX);
}

/* The headers of a request have come.  */
static void
on_early (SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
  (void)server;
  (void)query;
  if (!is_admin (path))
    source_caller_attach (data, message);
}

/* A request has come whole.  */
static void
on_whole (SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
  (void)server;
  if (is_admin (path))
    admin_handle (data, message, path + strlen (ADMIN_PREFIX), query);
  else
    source_caller_handle (data, message);
}

/* Listen for callers, operators and the backend server.  */
enum err
front_init (struct node *node)
{
  const struct address *at = &node->settings.core.front;
  guint32 ip = g_htonl (at->ip);
  GInetAddress *inet
      = g_inet_address_new_from_bytes ((guint8 *)&ip, G_SOCKET_FAMILY_IPV4);
  GSocketAddress *address = g_inet_socket_address_new (inet, at->port);
  gboolean listens;

  node->front = soup_server_new ("server-header", "bambootally", NULL);
  soup_server_add_early_handler (node->front, NULL, on_early, node, NULL);
  soup_server_add_handler (node->front, NULL, on_whole, node, NULL);
  listens = soup_server_listen (node->front, address, 0, NULL);
  g_object_unref (address);
  g_object_unref (inet);
  return listens ? ERR_NONE : ERR_IO;
}

/* Stop listening and close the callers' connections.  */
void
front_clear (struct node *node)
{
  if (node->front == NULL)
    return;
  soup_server_disconnect (node->front);
  g_clear_object (&node->front);
}

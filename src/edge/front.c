#include "edge/node.h"

#include "edge/conn.h"

#include <string.h>

#define ADMIN_PREFIX "/bambootally/" /* paths of the node's own interface */

/* Return TRUE if PATH is for operators or the backend server.  */
static gboolean
is_admin (const char *path)
{
  return g_str_has_prefix (path, ADMIN_PREFIX);
}

/* Handle the headers of a request, before its body is received.  */
static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct node *node = data;

  (void)server;
  (void)query;
  if (!is_admin (path))
    source_caller_attach (&node->proxy, message);
}

/* Handle a request that was received completely.  */
static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct node *node = data;

  (void)server;
  if (is_admin (path))
    admin_handle (node, message, path + strlen (ADMIN_PREFIX), query);
  else
    source_caller_handle (&node->proxy, message);
}

/* Listen for callers, operators and the backend server.  The listening socket
   is created here and not by libsoup, so that its backlog holds the
   connections of many callers that connect at the same time.  */
enum err
front_init (struct node *node)
{
  enum err code;
  GSocket *socket = conn_listen (node->settings.core.front_address, &code);

  if (socket == NULL)
    return code;
  node->front = soup_server_new ("server-header", "bambootally", NULL);
  soup_server_add_early_handler (node->front, NULL, on_headers, node, NULL);
  soup_server_add_handler (node->front, NULL, on_request, node, NULL);
  if (!soup_server_listen_socket (node->front, socket, 0, NULL))
    code = ERR_IO;
  g_object_unref (socket);
  return code;
}

/* Stop listening and close all connections.  */
void
front_clear (struct node *node)
{
  if (node->front == NULL)
    return;
  soup_server_disconnect (node->front);
  g_clear_object (&node->front);
}

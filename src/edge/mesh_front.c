#include "edge/mesh_node.h"

#include "edge/conn.h"

/* The headers of a request have come.  */
static void
on_early (SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
  struct mesh_node *node = data;

  (void)server;
  (void)path;
  (void)query;
  source_caller_attach (&node->proxy, message);
}

/* A request has come whole.  */
static void
on_whole (SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
  struct mesh_node *node = data;

  (void)server;
  (void)path;
  (void)query;
  source_caller_handle (&node->proxy, message);
}

/* Listen for callers.  */
enum err
mesh_front_init (struct mesh_node *node)
{
  enum err code;
  GSocket *socket = conn_listen (node->config.caller_address, &code);

  if (socket == NULL)
    return code;
  node->front = soup_server_new ("server-header", "bambootally", "raw-paths",
                                 TRUE, NULL);
  soup_server_add_early_handler (node->front, NULL, on_early, node, NULL);
  soup_server_add_handler (node->front, NULL, on_whole, node, NULL);
  if (!soup_server_listen_socket (node->front, socket, 0, NULL))
    code = ERR_IO;
  g_object_unref (socket);
  return code;
}

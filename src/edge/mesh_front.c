#include "edge/mesh_node.h"

#include "edge/conn.h"

/* Start handling a request when its headers have arrived.  */
static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct mesh_node *node = data;

  (void)server;
  (void)path;
  (void)query;
  source_caller_attach (&node->proxy, message);
}

/* Continue a request when its body has arrived completely.  */
static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
  struct mesh_node *node = data;

  (void)server;
  (void)path;
  (void)query;
  source_caller_handle (&node->proxy, message);
}

/* Start the HTTP server for callers at the configured address.  Return the
   error of listening.  */
enum err
mesh_front_init (struct mesh_node *node)
{
  enum err code;
  GSocket *socket = conn_listen (node->config.caller_address, &code);

  if (socket == NULL)
    return code;
  node->front = soup_server_new ("server-header", "bambootally", "raw-paths",
                                 TRUE, NULL);
  soup_server_add_early_handler (node->front, NULL, on_headers, node, NULL);
  soup_server_add_handler (node->front, NULL, on_request, node, NULL);
  if (!soup_server_listen_socket (node->front, socket, 0, NULL))
    code = ERR_IO;
  g_object_unref (socket);
  return code;
}

#include "edge/conn.h"

#include "edge/inet.h"

#define LISTEN_BACKLOG 512 /* connections waiting to be accepted */

/* Listen at AT.  Return the socket, or NULL with CODE set.  */
GSocket *
conn_listen (struct address at, enum err *code)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, NULL);
  GSocketAddress *address = inet_socket_address (at);

  g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  g_socket_set_blocking (socket, FALSE);
  *code = ERR_NONE;
  if (!g_socket_bind (socket, address, TRUE, NULL)
      || !g_socket_listen (socket, NULL))
    {
      *code = ERR_IO;
      g_clear_object (&socket);
    }
  g_object_unref (address);
  return socket;
}

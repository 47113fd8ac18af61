#include "edge/inet.h"

/* Make ADDRESS one of GIO's; release it with g_object_unref.  */
GSocketAddress *
inet_socket_address (struct address address)
{
  guint32 ip = g_htonl (address.ip);
  GInetAddress *inet
      = g_inet_address_new_from_bytes ((guint8 *)&ip, G_SOCKET_FAMILY_IPV4);
  GSocketAddress *made = g_inet_socket_address_new (inet, address.port);

  g_object_unref (inet);
  return made;
}

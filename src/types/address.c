#include "types/address.h"

#include <arpa/inet.h>
#include <string.h>

#define ADDRESS_TEXT_SIZE 32 /* longest IP:PORT text, bytes */
#define PORT_MAX 65535u

/* Parse IP:PORT from TEXT into ADDRESS.  Host names are not resolved.  Return
   ERR_ADDRESS for any other text.  */
enum err
address_parse (const char *text, struct address *address)
{
  char ip[ADDRESS_TEXT_SIZE];
  struct in_addr in;
  const char *colon = strrchr (text, ':');
  char *end = NULL;
  guint64 port;

  if (colon == NULL || (gsize)(colon - text) >= sizeof ip)
    return ERR_ADDRESS;
  memcpy (ip, text, (gsize)(colon - text));
  ip[colon - text] = '\0';
  if (inet_pton (AF_INET, ip, &in) != 1 || !g_ascii_isdigit (colon[1]))
    return ERR_ADDRESS;
  port = g_ascii_strtoull (colon + 1, &end, 10);
  if (*end != '\0' || port > PORT_MAX)
    return ERR_ADDRESS;
  address->ip = ntohl (in.s_addr);
  address->port = (guint16)port;
  return ERR_NONE;
}

/* Format ADDRESS as IP:PORT.  Free the text with g_free.  */
char *
address_format (struct address address)
{
  return g_strdup_printf ("%u.%u.%u.%u:%u", address.ip >> 24,
                          (address.ip >> 16) & 255u, (address.ip >> 8) & 255u,
                          address.ip & 255u, (guint)address.port);
}

/* Tell whether A and B are the same endpoint.  */
gboolean
address_equal (struct address a, struct address b)
{
  return a.ip == b.ip && a.port == b.port;
}

#ifndef BAMBOOTALLY_ADDRESS_H
#define BAMBOOTALLY_ADDRESS_H

#include "types/err.h"
#include <glib.h>

/* An IPv4 address and a port, both in host byte order.  */

struct address
{
  guint32 ip;   /* IPv4 address */
  guint16 port; /* TCP or UDP port */
};

enum err address_parse (const char *text, struct address *address);
char *address_format (struct address address);
gboolean address_equal (struct address a, struct address b);

#endif

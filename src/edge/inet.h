#ifndef BAMBOOTALLY_INET_H
#define BAMBOOTALLY_INET_H

#include "types/address.h"

#include <gio/gio.h>

/* Conversion of an address to the type of GIO.  */

GSocketAddress *inet_socket_address (struct address address);

#endif

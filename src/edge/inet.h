#ifndef BAMBOOTALLY_INET_H
#define BAMBOOTALLY_INET_H

#include "types/address.h"

#include <gio/gio.h>

/* An address as GIO wants it.  */

GSocketAddress *inet_socket_address (struct address address);

#endif

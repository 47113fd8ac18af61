#ifndef BAMBOOTALLY_ROUTE_SERVICE_H
#define BAMBOOTALLY_ROUTE_SERVICE_H

#include "types/limits.h"
#include <glib.h>

/* A service that routes lead to.  */

struct route_service
{
  char name[NAME_SIZE]; /* name of the service */
  gboolean sharded;     /* each key has one holder */
};

#endif

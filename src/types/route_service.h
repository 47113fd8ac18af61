#ifndef BAMBOOTALLY_ROUTE_SERVICE_H
#define BAMBOOTALLY_ROUTE_SERVICE_H

#include "types/limits.h"
#include <glib.h>

/* A service that routes lead to.  */

struct route_service
{
  char name[NAME_SIZE]; /* name of the service */
  gboolean sharded;     /* each key has exactly one owner */
  gint64 warmup_usec;   /* a server that starts is cold for so long, 0: it is
                           not */
  guint32 warmup_milli_per_s; /* requests that a cold server takes, thousandths
                                 a second; 0: no limit */
};

#endif

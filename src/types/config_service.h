#ifndef BAMBOOTALLY_CONFIG_SERVICE_H
#define BAMBOOTALLY_CONFIG_SERVICE_H

#include "types/limits.h"
#include <glib.h>

/* A service, either sharded by key into slices or not sharded.  */

struct config_service
{
  char name[NAME_SIZE]; /* name of the service */
  gboolean sharded;     /* each key has exactly one owner */
  guint32 slice_count;  /* slices that keys are hashed to; never changes */
  guint32 timeout_msec; /* time limit of a request, milliseconds */
  guint32 queue_limit;  /* requests that may wait for a slot */
};

#endif

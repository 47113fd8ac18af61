#ifndef BAMBOOTALLY_CONFIG_SERVICE_H
#define BAMBOOTALLY_CONFIG_SERVICE_H

#include "types/limits.h"
#include <glib.h>

/* A service, divided by key into slices or not divided.  */

struct config_service
{
  char name[NAME_SIZE]; /* name of the service */
  gboolean sharded;     /* whether each key has one owner */
  guint32 slice_count;  /* slices that keys hash to; fixed for good */
  guint32 timeout_msec; /* longest time that a request may take */
  guint32 queue_limit;  /* requests that may wait for a slot */
};

#endif

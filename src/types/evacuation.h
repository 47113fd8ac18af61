#ifndef BAMBOOTALLY_EVACUATION_H
#define BAMBOOTALLY_EVACUATION_H

#include "types/limits.h"

#include <glib.h>

/* A record by which the operator evacuates a data centre, or ends that.  */

struct evacuation
{
  char zone[NAME_SIZE];  /* name of the data centre */
  guint64 offset;        /* offset of the record in the operator's topic */
  gboolean is_cancelled; /* the record ends the evacuation */
};

#endif

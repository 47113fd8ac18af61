#ifndef BAMBOOTALLY_EVACUATED_ZONES_H
#define BAMBOOTALLY_EVACUATED_ZONES_H

#include "types/limits.h"

#include <glib.h>

/* The data centres that are evacuated as of an offset of the operator's topic,
   in the form that nodes send each other.  */

#define EVACUATED_ZONES_MAX 64u /* data centres in a set */

struct evacuated_zones
{
  guint64 offset; /* all records below this offset are taken into account; 0:
                     nothing is known */
  guint32 count;  /* used entries of `names' */
  /* names of the data centres, interned: a set is copied with each message */
  const char *names[EVACUATED_ZONES_MAX];
};

#endif

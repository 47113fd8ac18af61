#ifndef BAMBOOTALLY_PLACE_ZONE_H
#define BAMBOOTALLY_PLACE_ZONE_H

#include "types/limits.h"
#include <glib.h>

/* The live members of one zone in sorted order.  */

struct place_zone
{
  char name[NAME_SIZE];    /* its name */
  GSequence *rows_by_load; /* rows of members, least load a slot first */
  GSequence *rows_by_successions; /* rows, least successions a slot first */
};

#endif

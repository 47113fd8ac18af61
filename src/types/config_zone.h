#ifndef BAMBOOTALLY_CONFIG_ZONE_H
#define BAMBOOTALLY_CONFIG_ZONE_H

#include "types/limits.h"

/* A place: one zone of the fleet.  */

struct config_zone
{
  char name[NAME_SIZE];   /* name of the zone */
  char region[NAME_SIZE]; /* region it lies in */
};

#endif

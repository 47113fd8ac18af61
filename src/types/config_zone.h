#ifndef BAMBOOTALLY_CONFIG_ZONE_H
#define BAMBOOTALLY_CONFIG_ZONE_H

#include "types/limits.h"

/* A zone (data centre) of the fleet.  The configuration text calls it
   place.  */

struct config_zone
{
  char name[NAME_SIZE];   /* name of the zone */
  char region[NAME_SIZE]; /* region that the zone lies in */
};

#endif

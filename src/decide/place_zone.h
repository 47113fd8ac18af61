#ifndef BAMBOOTALLY_PLACE_ZONE_H
#define BAMBOOTALLY_PLACE_ZONE_H

#include <glib.h>

/* The live members of one zone in sorted order.  */

struct place_zone
{
  const char *name;       /* owned by the view */
  GSequence *by_load;     /* rows of members, least load a slot first */
  GSequence *by_standing; /* rows, least successions a slot first */
};

#endif

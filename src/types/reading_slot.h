#ifndef BAMBOOTALLY_READING_SLOT_H
#define BAMBOOTALLY_READING_SLOT_H

#include "types/mesh_topic.h"

/* The duties of reading a topic for the whole fleet.  The operator's topic has
   two, since a configuration has to be in force within seconds.  */

enum reading_slot
{
  READING_FLEET,       /* the fleet's topic */
  READING_CONFIG,      /* the operator's topic */
  READING_CONFIG_SPARE /* the operator's topic too, by another node */
};

#define READING_SLOTS 3u

enum mesh_topic reading_slot_topic (enum reading_slot slot);
const char *reading_slot_name (enum reading_slot slot);

#endif

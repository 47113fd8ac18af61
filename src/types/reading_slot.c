#include "types/reading_slot.h"

/* Return the topic that SLOT is about.  */
enum mesh_topic
reading_slot_topic (enum reading_slot slot)
{
  switch (slot)
    {
    case READING_FLEET:
      return MESH_TOPIC_FLEET;
    case READING_CONFIG:
    case READING_CONFIG_SPARE:
      return MESH_TOPIC_CONFIG;
    }
  return MESH_TOPIC_FLEET;
}

/* Return the name of SLOT for log lines.  */
const char *
reading_slot_name (enum reading_slot slot)
{
  switch (slot)
    {
    case READING_FLEET:
      return "fleet";
    case READING_CONFIG:
      return "config";
    case READING_CONFIG_SPARE:
      return "config-spare";
    }
  return "";
}

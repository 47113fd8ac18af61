#include "types/mesh_topic.h"

/* Return the name of TOPIC for log lines.  */
const char *
mesh_topic_name (enum mesh_topic topic)
{
  switch (topic)
    {
    case MESH_TOPIC_FLEET:
      return "fleet";
    case MESH_TOPIC_CONFIG:
      return "config";
    }
  return "";
}

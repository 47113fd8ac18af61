#include "mesh/mesh_obstacle.h"

/* Return the name of OBSTACLE.  */
const char *
mesh_obstacle_name (enum mesh_obstacle obstacle)
{
  switch (obstacle)
    {
    case MESH_OBSTACLE_NONE:
      return "none";
    case MESH_OBSTACLE_NOT_READY:
      return "not-ready";
    case MESH_OBSTACLE_EVACUATED:
      return "evacuated";
    case MESH_OBSTACLE_LEAVING:
      return "leaving";
    case MESH_OBSTACLE_NO_SLOTS:
      return "no-slots";
    case MESH_OBSTACLE_UNKNOWN:
      return "unknown";
    case MESH_OBSTACLE_UNRESPONSIVE:
      return "unresponsive";
    case MESH_OBSTACLE_BREAKER:
      return "breaker";
    }
  return "";
}

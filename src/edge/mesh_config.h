#ifndef BAMBOOTALLY_MESH_CONFIG_H
#define BAMBOOTALLY_MESH_CONFIG_H

#include "mesh/mesh_settings.h"
#include "types/err.h"
#include "types/config_error.h"

/* The settings file of a node of a mesh.  */

struct mesh_config
{
  struct mesh_settings mesh;     /* who the node is */
  struct address caller_address; /* where callers connect */
  struct address
      control_address; /* where the backend server sends its beats */
  struct address
      ready_address; /* where the platform asks whether it is ready */
  struct address metrics_address; /* where metrics are served */
  struct address store_address;   /* the platform's store */
  char log_level[NAME_SIZE];      /* which events are logged */
};

enum err mesh_config_read (struct mesh_config *config, const char *file,
                           GArray *errors);

#endif

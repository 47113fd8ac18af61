#ifndef BAMBOOTALLY_MESH_CONFIG_H
#define BAMBOOTALLY_MESH_CONFIG_H

#include "mesh/mesh_settings.h"
#include "types/err.h"
#include "types/config_error.h"

/* The settings file of a node of a mesh.  */

struct mesh_config
{
  struct mesh_settings mesh; /* who the node is */
  struct address callers;    /* where callers connect */
  struct address control;    /* where the backend server sends its beats */
  struct address ready;      /* where the platform asks whether it is ready */
  struct address metrics;    /* where metrics are served */
  struct address store;      /* the platform's store */
  char log_level[NAME_SIZE]; /* which events are logged */
};

enum err mesh_config_read (struct mesh_config *config, const char *file,
                           GArray *errors);

#endif

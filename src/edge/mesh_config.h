#ifndef BAMBOOTALLY_MESH_CONFIG_H
#define BAMBOOTALLY_MESH_CONFIG_H

#include "mesh/mesh_settings.h"
#include "types/err.h"
#include "types/config_error.h"

/* The settings file of a node of a mesh.  */

struct mesh_config
{
  struct mesh_settings mesh; /* identity and bounds of the node */
  struct address callers;    /* where callers connect */
  struct address control;    /* where the backend server sends heartbeats */
  struct address ready;      /* where the platform checks readiness */
  struct address metrics;    /* where metrics are served */
  struct address store;      /* the platform's store service */
  char log_level[NAME_SIZE]; /* lowest level of logged events */
};

enum err mesh_config_read (struct mesh_config *config, const char *file,
                           GArray *errors);

#endif

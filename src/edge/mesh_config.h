#ifndef BAMBOOTALLY_MESH_CONFIG_H
#define BAMBOOTALLY_MESH_CONFIG_H

#include "mesh/mesh_settings.h"
#include "types/err.h"
#include "types/config_error.h"

/* The settings file of a node of a mesh.  */

struct mesh_config
{
  struct mesh_settings mesh;      /* identity and bounds of the node */
  struct address caller_address;  /* where callers connect */
  struct address control_address; /* where the server sends heartbeats */
  struct address ready_address;   /* where the platform checks readiness */
  struct address metrics_address; /* where metrics are served */
  struct address store_address;   /* the platform's store service */
  guint64 memory_bytes;      /* memory that the process may use, in bytes */
  guint descriptors_max;     /* descriptors that the process may have open */
  guint link_mbit_per_s;     /* rate of the host's link; 0: not known */
  char log_level[NAME_SIZE]; /* lowest level of logged events */
};

enum err mesh_config_read (struct mesh_config *config, const char *file,
                           GArray *errors);

#endif

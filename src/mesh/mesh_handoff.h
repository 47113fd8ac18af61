#ifndef BAMBOOTALLY_MESH_HANDOFF_H
#define BAMBOOTALLY_MESH_HANDOFF_H

#include "types/limits.h"

#include <glib.h>

/* A range of this node's keys that another node is to have.  Only this node
   knows of it until its server has given the range up: then the map says who
   owns it.  */

struct mesh_handoff
{
  guint32 first_key;         /* lowest key */
  guint32 last_key;          /* highest key */
  char new_owner[NAME_SIZE]; /* node that is to own them */
  gint64 expires_at;         /* it is withdrawn then */
};

#endif

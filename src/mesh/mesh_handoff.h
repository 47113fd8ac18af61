#ifndef BAMBOOTALLY_MESH_HANDOFF_H
#define BAMBOOTALLY_MESH_HANDOFF_H

#include "types/limits.h"

#include <glib.h>

/* A planned handoff of a range of this node's keys to another node.  Only this
   node knows of it until its server has released the range; the map in the
   store then names the new owner.  */

struct mesh_handoff
{
  guint32 first_key;         /* lowest key of the range */
  guint32 last_key;          /* highest key of the range */
  char new_owner[NAME_SIZE]; /* node that is to own the range */
  gint64 expires_at;         /* time at which the handoff is withdrawn */
};

#endif

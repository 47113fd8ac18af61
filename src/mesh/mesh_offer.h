#ifndef BAMBOOTALLY_MESH_OFFER_H
#define BAMBOOTALLY_MESH_OFFER_H

#include "types/limits.h"

#include <glib.h>

/* A range of this node's keys that another node is to have.  Only this node
   knows of it until its server has given the range up: then the map says who
   owns it.  */

struct mesh_offer
{
  guint32 first;        /* lowest key */
  guint32 last;         /* highest key */
  char next[NAME_SIZE]; /* node that is to own them */
  gint64 until;         /* it is withdrawn then */
};

#endif

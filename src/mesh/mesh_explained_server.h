#ifndef BAMBOOTALLY_MESH_EXPLAINED_SERVER_H
#define BAMBOOTALLY_MESH_EXPLAINED_SERVER_H

#include "mesh/mesh_obstacle.h"
#include "types/limits.h"
#include "types/load_report.h"

/* A server of an undivided service, and how it stands in the choice for a
   request.  */

struct mesh_explained_server
{
  char name[NAME_SIZE];        /* name of its node */
  char zone[NAME_SIZE];        /* its data centre */
  enum mesh_obstacle obstacle; /* what keeps requests from it */
  gboolean is_local;           /* it is the server beside this node */
  gboolean is_near;            /* it is in the data centre of this node */
  gboolean is_drawn;           /* it is one of those that are compared */
  gboolean is_taken;           /* it is the one that is chosen */
  struct load_report load;     /* its last load report */
  gint64 load_age_msec;        /* age of that report, -1: there is none */
  gint64 heard_age_msec; /* age of the last message of its node, -1: none */
  guint32 slots;         /* slots that it is taken to have now */
  guint32 in_flight;     /* requests of this node that it has not answered */
  gint64 cost_usec;      /* if it is drawn: cost by which it is compared */
};

#endif

#ifndef BAMBOOTALLY_PLACE_MEMBER_H
#define BAMBOOTALLY_PLACE_MEMBER_H

#include "types/handle.h"
#include <glib.h>

/* A member of a service as placement sees it.  */

struct place_member
{
  struct handle node;         /* in the view */
  guint64 incarnation;        /* its name in records */
  const char *host;           /* owned by the view */
  const char *server;         /* owned by the view */
  guint32 zone;               /* row in the zones */
  gdouble capacity;           /* slots, weighted by the configuration */
  gdouble load;               /* weight of the slices it owns or receives */
  guint32 standing;           /* slices that it is a successor of */
  gboolean live;              /* whether it may be given slices */
  gboolean leaving;           /* whether its slices are to go */
  GSequenceIter *by_load;     /* its place in its zone, or NULL */
  GSequenceIter *by_standing; /* likewise */
};

#endif

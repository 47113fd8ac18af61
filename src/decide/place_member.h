#ifndef BAMBOOTALLY_PLACE_MEMBER_H
#define BAMBOOTALLY_PLACE_MEMBER_H

#include "types/handle.h"
#include <glib.h>

/* A member of a service as placement sees it.  It points at nothing of the
   view, which may change while a plan goes on.  */

struct place_member
{
  struct handle node;       /* in the view */
  guint64 incarnation;      /* its name in records */
  guint64 host_hash;        /* hash of its host's name */
  guint32 zone_row;         /* row in the zones */
  guint32 succession_count; /* slices that it is a successor of */
  gdouble capacity;         /* slots, weighted by the configuration */
  gdouble load;             /* weight of the slices it owns or receives */
  gboolean is_live;         /* whether it may be given slices */
  gboolean is_leaving;      /* whether its slices are to go */
  GSequenceIter *load_iter; /* its place in its zone, or NULL */
  GSequenceIter *succession_iter; /* likewise */
};

#endif

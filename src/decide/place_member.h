#ifndef BAMBOOTALLY_PLACE_MEMBER_H
#define BAMBOOTALLY_PLACE_MEMBER_H

#include "types/handle.h"
#include <glib.h>

/* A member of a service during a planning pass.  The struct holds no pointers
   into the view, which may change while the pass runs.  */

struct place_member
{
  struct handle node;  /* handle of the node in the view */
  guint64 incarnation; /* incarnation of the node, which names it in records */
  guint64 host_hash;   /* hash of the host name of the node */
  guint32 zone_row;    /* row of the zone of the node in the placement */
  guint32 succession_count; /* slices that the member is a successor of */
  gdouble capacity;         /* slots, scaled by the configured weight */
  /* weight of the slices that the member owns or is to receive */
  gdouble load;
  gboolean is_live; /* whether the member may be given slices */
  /* whether the slices of the member must be moved away */
  gboolean is_leaving;
  GSequenceIter *load_iter;       /* element of rows_by_load, or NULL */
  GSequenceIter *succession_iter; /* element of rows_by_successions */
};

#endif

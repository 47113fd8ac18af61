#ifndef BAMBOOTALLY_PLACE_MEMBER_H
#define BAMBOOTALLY_PLACE_MEMBER_H

#include "types/handle.h"
#include <glib.h>

/* A member of a service during a planning pass.  It holds no pointers into the
   view, which may change while the pass runs.  */

struct place_member
{
  struct handle node;       /* handle of the node in the view */
  guint64 incarnation;      /* incarnation of the node, its name in records */
  guint64 host_hash;        /* hash of the name of its host */
  guint32 zone_row;         /* row of its zone in the placement */
  guint32 succession_count; /* slices that it is a successor of */
  gdouble capacity;         /* slots, scaled by the configured weight */
  gdouble load;        /* weight of the slices that it owns or is to receive */
  gboolean is_live;    /* whether it may be given slices */
  gboolean is_leaving; /* whether its slices must be moved away */
  GSequenceIter *load_iter;       /* element of rows_by_load, or NULL */
  GSequenceIter *succession_iter; /* element of rows_by_successions */
};

#endif

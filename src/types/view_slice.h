#ifndef BAMBOOTALLY_VIEW_SLICE_H
#define BAMBOOTALLY_VIEW_SLICE_H

#include "types/handle.h"
#include "types/limits.h"

/* A slice as the log describes it.  A move whose receiver is the owner only
   changes the successors.  */

struct view_slice
{
  struct handle owner; /* node that owns the slice, or none */
  struct handle successors[SUCCESSOR_MAX]; /* nodes that take over, in order */
  struct handle receiver; /* receiver of a pending move, or none */
  struct handle next_successors[SUCCESSOR_MAX]; /* successors after the move */
  guint64 epoch;       /* offset of the record that named the owner */
  guint64 move_offset; /* offset of the pending move's record, 0 for none */
};

#endif

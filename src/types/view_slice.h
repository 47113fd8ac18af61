#ifndef BAMBOOTALLY_VIEW_SLICE_H
#define BAMBOOTALLY_VIEW_SLICE_H

#include "types/handle.h"
#include "types/limits.h"

/* A slice as the log describes it.  A move to the owner itself only changes
   the successors.  */

struct view_slice
{
  struct handle owner;                     /* node that owns it, or none */
  struct handle successors[SUCCESSOR_MAX]; /* who takes over, in order */
  struct handle receiver;                  /* receiver of a pending move */
  struct handle next_successors[SUCCESSOR_MAX]; /* successors after the move */
  guint64 epoch;       /* offset that named the owner */
  guint64 move_offset; /* offset of the move, 0 for none */
};

#endif

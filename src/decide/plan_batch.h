#ifndef BAMBOOTALLY_PLAN_BATCH_H
#define BAMBOOTALLY_PLAN_BATCH_H

#include "decide/planner.h"

/* What one step of a plan proposes: at most one record that assigns and one
   that moves.  */

#define PLAN_SLICES_MAX 512u /* slices in one record */

struct plan_batch
{
  GArray *assigns; /* struct record_slice */
  GArray *moves;   /* struct record_slice */
};

void plan_batch_init (struct plan_batch *batch);
void plan_batch_clear (struct plan_batch *batch);
gboolean plan_batch_is_full (const struct plan_batch *batch);
void plan_batch_add (GArray *items, struct planner *planner,
                     const struct view_slice *slice, guint32 number,
                     guint32 owner);

#endif

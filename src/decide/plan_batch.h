#ifndef BAMBOOTALLY_PLAN_BATCH_H
#define BAMBOOTALLY_PLAN_BATCH_H

#include "decide/planner.h"

/* The proposals of one planning step: at most one record that assigns slices
   and one that moves them.  */

#define PLAN_SLICES_MAX 512u /* most slices in one record */

struct plan_batch
{
  GArray *assigns; /* struct record_slice, slices that get an owner */
  GArray *moves;   /* struct record_slice, slices that are to move */
};

void plan_batch_init (struct plan_batch *batch);
void plan_batch_clear (struct plan_batch *batch);
gboolean plan_batch_is_full (const struct plan_batch *batch);
void plan_batch_add (GArray *items, struct planner *planner,
                     const struct view_slice *slice, guint32 number,
                     guint32 owner);

#endif

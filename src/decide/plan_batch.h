#ifndef BAMBOOTALLY_PLAN_BATCH_H
#define BAMBOOTALLY_PLAN_BATCH_H

#include "decide/place.h"
#include "decide/planner.h"

/* What one plan proposes: slices of one record, and the rules that fill
   it.  */

#define PLAN_SLICES_MAX 512u /* slices in one record */

struct plan_batch
{
  enum record_kind kind; /* RECORD_ASSIGN or RECORD_MOVE */
  GArray *items;         /* struct record_slice */
  guint32 even;          /* items from here on are moves for balance */
};

void plan_batch_init (struct plan_batch *batch);
void plan_batch_clear (struct plan_batch *batch);
gboolean plan_batch_full (const struct plan_batch *batch);
void plan_batch_add (struct plan_batch *batch, struct place *place,
                     guint32 slice, guint32 owner);
void plan_make (const struct planner *planner, const struct view *view,
                const struct view_service *service, gint64 now,
                struct plan_batch *batch);
void plan_batch_rest (const struct plan_batch *batch, struct planner *planner,
                      gint64 now);
void plan_assign (struct place *place, struct plan_batch *batch);
void plan_vacate (struct place *place, struct plan_batch *batch);
void plan_respread (struct place *place, struct plan_batch *batch);
void plan_even (struct place *place, const struct planner *planner, gint64 now,
                struct plan_batch *batch);

#endif

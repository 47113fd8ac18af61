#ifndef BAMBOOTALLY_PLAN_PASS_H
#define BAMBOOTALLY_PLAN_PASS_H

#include "decide/plan_batch.h"

/* One step of a pass, and the rules that it applies.  */

#define PLAN_STEP_UNITS 16384u /* work of one step of a node */

gboolean plan_advance (struct planner *planner, const struct view *view,
                       const struct view_service *service, gint64 now,
                       guint32 budget, struct plan_batch *batch);
guint32 plan_least_loaded (struct planner *planner, const struct view *view);
void plan_check_slice (struct planner *planner, const struct view *view,
                       const struct view_service *service, guint32 number,
                       gint64 now, struct plan_batch *batch);
gboolean plan_balance (struct planner *planner, const struct view *view,
                       const struct view_service *service, gint64 now,
                       struct plan_batch *batch);

#endif

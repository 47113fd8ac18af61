#include "decide/plan_pass.h"

#define SORT_UNITS 16u    /* what sorting one member in counts as */
#define BALANCE_UNITS 16u /* what one move for balance counts as */

/* Go on to STAGE from its start.  */
static void
enter (struct planner *planner, enum plan_stage stage)
{
  planner->stage = stage;
  planner->cursor = 0;
}

/* Count the slice at the cursor.  */
static void
count_slice (struct planner *planner, const struct view_service *service)
{
  guint32 number = planner->cursor++;

  place_count_slice (&planner->placement, view_slice_at (service, number),
                     planner_slice_weight (planner, number));
}

/* Do one unit of the pass or a few, and return how many.  */
static guint32
advance_one (struct planner *planner, const struct view *view,
             const struct view_service *service, gint64 now,
             struct plan_batch *batch)
{
  switch (planner->stage)
    {
    case PLAN_IDLE:
      return 0;
    case PLAN_ADD_MEMBERS:
      if (planner->cursor < service->members->len)
        place_add_member (&planner->placement, view,
                          g_array_index (service->members, struct handle,
                                         planner->cursor++));
      else
        enter (planner, PLAN_COUNT_LOADS);
      return 1;
    case PLAN_COUNT_LOADS:
      if (planner->cursor < service->slices->len)
        count_slice (planner, service);
      else
        enter (planner, PLAN_SORT_MEMBERS);
      return 1;
    case PLAN_SORT_MEMBERS:
      if (planner->cursor < planner->placement.members->len)
        {
          place_sort_in (&planner->placement, planner->cursor++);
          return SORT_UNITS;
        }
      planner->zone_spread = place_zone_spread (&planner->placement);
      enter (planner, PLAN_CHECK_SLICES);
      return 1;
    case PLAN_CHECK_SLICES:
      if (planner->cursor < service->slices->len)
        plan_check_slice (planner, view, service, planner->cursor++, now,
                          batch);
      else
        enter (planner, PLAN_BALANCE);
      return 1;
    case PLAN_BALANCE:
      if (!plan_balance (planner, view, service, now, batch))
        planner_end_pass (planner);
      return BALANCE_UNITS;
    }
  return 0;
}

/* Go on with the pass of PLANNER over SERVICE for about BUDGET units of work,
   or until a record is full.  Add to BATCH what is to be proposed.  Return
   FALSE once the pass has ended.  The view may change between two steps: what
   the pass no longer knows rightly, the fold drops by its epoch.  */
gboolean
plan_advance (struct planner *planner, const struct view *view,
              const struct view_service *service, gint64 now, guint32 budget,
              struct plan_batch *batch)
{
  guint32 spent = 0;

  while (spent < budget && planner->stage != PLAN_IDLE
         && !plan_batch_is_full (batch))
    spent += advance_one (planner, view, service, now, batch);
  return planner->stage != PLAN_IDLE;
}

#include "decide/plan_pass.h"

#define ORDER_UNITS 16u /* work units for sorting one member */
#define EVEN_UNITS 16u  /* work units for one move for balance */

/* Enter STAGE, at its first item.  */
static void
enter_stage (struct planner *planner, enum plan_stage stage)
{
  planner->stage = stage;
  planner->cursor = 0;
}

/* Add the load of the slice at the cursor to its owner and successors.  */
static void
count_slice (struct planner *planner, const struct view_service *service)
{
  guint32 number = planner->cursor++;

  place_count (&planner->place, view_slice_at (service, number),
               planner_weight (planner, number));
}

/* Process the next item of the pass.  Return the work units that it took.  */
static guint32
advance_one (struct planner *planner, const struct view *view,
             const struct view_service *service, gint64 now,
             struct plan_batch *batch)
{
  switch (planner->stage)
    {
    case PLAN_IDLE:
      return 0;
    case PLAN_MEMBERS:
      if (planner->cursor < service->members->len)
        place_add_member (&planner->place, view,
                          g_array_index (service->members, struct handle,
                                         planner->cursor++));
      else
        enter_stage (planner, PLAN_LOADS);
      return 1;
    case PLAN_LOADS:
      if (planner->cursor < service->slices->len)
        count_slice (planner, service);
      else
        enter_stage (planner, PLAN_ORDER);
      return 1;
    case PLAN_ORDER:
      if (planner->cursor < planner->place.members->len)
        {
          place_order (&planner->place, planner->cursor++);
          return ORDER_UNITS;
        }
      planner->spread = place_spread (&planner->place);
      enter_stage (planner, PLAN_RULES);
      return 1;
    case PLAN_RULES:
      if (planner->cursor < service->slices->len)
        plan_rule (planner, view, service, planner->cursor++, now, batch);
      else
        enter_stage (planner, PLAN_EVEN);
      return 1;
    case PLAN_EVEN:
      if (!plan_even (planner, view, service, now, batch))
        planner_stop (planner);
      return EVEN_UNITS;
    }
  return 0;
}

/* Continue the pass of PLANNER over SERVICE for about BUDGET work units, or
   until a record of BATCH is full.  Proposals are added to BATCH.  Return
   FALSE once the pass has ended.  The view may change between two steps: each
   proposed slice carries the epoch it was planned with, and a record with an
   outdated epoch has no effect when it is applied.  */
gboolean
plan_advance (struct planner *planner, const struct view *view,
              const struct view_service *service, gint64 now, guint32 budget,
              struct plan_batch *batch)
{
  guint32 spent = 0;

  while (spent < budget && planner->stage != PLAN_IDLE
         && !plan_batch_full (batch))
    spent += advance_one (planner, view, service, now, batch);
  return planner->stage != PLAN_IDLE;
}

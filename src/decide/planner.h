#ifndef BAMBOOTALLY_PLANNER_H
#define BAMBOOTALLY_PLANNER_H

#include "decide/place.h"
#include "decide/slice_list.h"

/* The planner of one service: a pass over its members and slices that is
   divided into bounded steps, and the state that is kept between passes.  */

/* Stages of a planning pass, in order.  */
enum plan_stage
{
  PLAN_IDLE,         /* no pass is running */
  PLAN_ADD_MEMBERS,  /* members are added to the placement */
  PLAN_COUNT_LOADS,  /* the loads of all slices are counted */
  PLAN_SORT_MEMBERS, /* members are sorted by load */
  PLAN_CHECK_SLICES, /* each slice is checked for its owner and successors */
  PLAN_BALANCE       /* slices are moved for balance */
};

struct planner
{
  GArray *slice_weights;  /* gdouble by slice: load relative to a mean of 1;
                             slices past the end weigh 1 */
  GArray *cooldown_until; /* gint64 by slice: end of the cooldown, monotonic
                             usec */
  enum plan_stage stage;  /* stage of the pass */
  guint32 cursor;         /* next member or slice of the stage */
  struct placement placement;   /* loads of the members, during a pass */
  struct slice_list candidates; /* slices that balancing may move, by owner */
  guint32 pending_moves;  /* moves between members that the pass has found
                             pending or proposed */
  guint32 zone_spread;    /* zones that an owner and its successors can span */
  gint64 pass_expires_at; /* the pass is abandoned then, monotonic usec */
  gboolean changed; /* a record that affects placement came after the last pass
                       began */
  gint64 changed_at;   /* when CHANGED was set or a planner last proposed,
                          monotonic usec */
  gint64 next_pass_at; /* a pass begins then even without a change, monotonic
                          usec */
};

void planner_init (struct planner *planner);
void planner_clear (struct planner *planner);
gdouble planner_slice_weight (const struct planner *planner, guint32 slice);
gboolean planner_in_cooldown (const struct planner *planner, guint32 slice,
                              gint64 now);
void planner_set_cooldown (struct planner *planner, guint32 slice,
                           gint64 until);
void planner_begin_pass (struct planner *planner, gint64 now);
void planner_end_pass (struct planner *planner);
void planner_on_record (struct planner *planner, const struct view *view,
                        const struct view_service *service,
                        const struct record *record, gint64 now);

#endif

#ifndef BAMBOOTALLY_PLANNER_H
#define BAMBOOTALLY_PLANNER_H

#include "decide/place.h"
#include "decide/slice_list.h"

/* The planner of one service: a pass over its members and slices that goes on
   in bounded steps, and what it remembers from one pass to the next.  */

/* How far a pass has come.  */
enum plan_stage
{
  PLAN_IDLE,         /* no pass */
  PLAN_ADD_MEMBERS,  /* members are taken in */
  PLAN_COUNT_LOADS,  /* slices are counted */
  PLAN_SORT_MEMBERS, /* members are sorted */
  PLAN_CHECK_SLICES, /* each slice is looked at */
  PLAN_BALANCE       /* slices are moved for balance */
};

struct planner
{
  GArray *slice_weights; /* gdouble by slice: its load; 1 where short */
  GArray
      *cooldown_until;   /* gint64 by slice: not moved for balance till then */
  enum plan_stage stage; /* of the pass */
  guint32 cursor;        /* what the stage has come to */
  struct placement placement;   /* members, during a pass */
  struct slice_list candidates; /* slices that may be moved, during a pass */
  guint32 pending_moves;        /* moves under way that the pass has seen */
  guint32 zone_spread;          /* zones to spread over */
  gint64 pass_expires_at;       /* a pass is given up then, monotonic usec */
  gboolean changed;    /* placement changed since the last pass began */
  gint64 changed_at;   /* since when there may be something to plan */
  gint64 next_pass_at; /* when to look again although nothing changed */
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

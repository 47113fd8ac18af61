#ifndef BAMBOOTALLY_PLANNER_H
#define BAMBOOTALLY_PLANNER_H

#include "decide/place.h"
#include "decide/plan_chain.h"

/* The planner of one service: a pass over its members and slices that goes on
   in bounded steps, and what it remembers from one pass to the next.  */

/* How far a pass has come.  */
enum plan_stage
{
  PLAN_IDLE,    /* no pass */
  PLAN_MEMBERS, /* members are taken in */
  PLAN_LOADS,   /* slices are counted */
  PLAN_ORDER,   /* members are sorted */
  PLAN_RULES,   /* each slice is looked at */
  PLAN_EVEN     /* slices are moved for balance */
};

struct planner
{
  GArray *weights;       /* gdouble by slice: its load; 1 where short */
  GArray *rests;         /* gint64 by slice: not moved for balance till then */
  enum plan_stage stage; /* of the pass */
  guint32 cursor;        /* what the stage has come to */
  struct place place;    /* members, during a pass */
  struct plan_chain chain; /* slices that may be moved, during a pass */
  guint32 moving;          /* moves under way that the pass has seen */
  guint32 spread;          /* zones to spread over */
  gint64 until;            /* a pass is given up then, monotonic usec */
  gboolean changed;        /* placement changed since the last pass began */
  gint64 wake;             /* since when there may be something to plan */
  gint64 quiet;            /* when to look again although nothing changed */
};

void planner_init (struct planner *planner);
void planner_clear (struct planner *planner);
gdouble planner_weight (const struct planner *planner, guint32 slice);
gboolean planner_rests (const struct planner *planner, guint32 slice,
                        gint64 now);
void planner_rest (struct planner *planner, guint32 slice, gint64 until);
void planner_begin (struct planner *planner, gint64 now);
void planner_stop (struct planner *planner);
void planner_on_record (struct planner *planner, const struct view *view,
                        const struct view_service *service,
                        const struct record *record, gint64 now);

#endif

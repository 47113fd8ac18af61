#ifndef BAMBOOTALLY_PLANNER_H
#define BAMBOOTALLY_PLANNER_H

#include <glib.h>

/* What a node remembers between its plans.  */

struct planner
{
  GArray *weights;   /* gdouble by slice: its load; 1 where short */
  GArray *rests;     /* gint64 by slice: not moved for balance until then */
  gint64 next;       /* when to plan next, monotonic usec */
  gint64 act_at;     /* when this node proposes what stands out, or 0 */
  guint64 head;      /* epoch and number of the first slice that stands out */
  guint64 seen;      /* view that left nothing to plan */
  gint64 next_quiet; /* when to look again although the view is the same */
};

void planner_init (struct planner *planner);
void planner_clear (struct planner *planner);
gboolean planner_rests (const struct planner *planner, guint32 slice,
                        gint64 now);
void planner_rest (struct planner *planner, guint32 slice, gint64 until);

#endif

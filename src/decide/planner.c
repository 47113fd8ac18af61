#include "decide/planner.h"

#include <string.h>

/* Set up a planner that has planned nothing.  */
void
planner_init (struct planner *planner)
{
  memset (planner, 0, sizeof *planner);
  planner->weights = g_array_new (FALSE, TRUE, sizeof (gdouble));
  planner->rests = g_array_new (FALSE, TRUE, sizeof (gint64));
}

/* Release what PLANNER holds.  */
void
planner_clear (struct planner *planner)
{
  g_array_free (planner->weights, TRUE);
  g_array_free (planner->rests, TRUE);
  memset (planner, 0, sizeof *planner);
}

/* Tell whether SLICE was moved for balance so lately that it stays.  */
gboolean
planner_rests (const struct planner *planner, guint32 slice, gint64 now)
{
  return slice < planner->rests->len
         && now < g_array_index (planner->rests, gint64, slice);
}

/* Let SLICE stay until UNTIL.  */
void
planner_rest (struct planner *planner, guint32 slice, gint64 until)
{
  if (slice >= planner->rests->len)
    g_array_set_size (planner->rests, slice + 1);
  g_array_index (planner->rests, gint64, slice) = until;
}

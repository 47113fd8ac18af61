#ifndef BAMBOOTALLY_HOLD_H
#define BAMBOOTALLY_HOLD_H

#include "types/event.h"
#include "types/view.h"

struct core;

/* What keeps this node from serving slices that the log says are its own:
   requests that may still run at a server that does not check fences, and
   slices that it has begun to give up.  */

/* Slices that a record gave away after a node whose server does not check
   fences had gone.  */
struct hold_wait
{
  guint64 epoch; /* offset of that record */
  gint64 until;  /* no request of that node runs from then on */
};

struct hold
{
  GArray *waits;     /* struct hold_wait */
  GHashTable *given; /* slice number to guint64 epoch it was given up in */
};

void hold_init (struct hold *hold);
void hold_clear (struct hold *hold);
void hold_before_record (struct core *core, const struct log_entry *entry,
                         gint64 now);
void hold_after_snapshot (struct core *core, guint64 before, gint64 now);
gboolean hold_waits (const struct hold *hold, guint64 epoch, gint64 now);
gint64 hold_latest (const struct hold *hold);
void hold_give_up (struct hold *hold, guint32 slice, guint64 epoch);
gboolean hold_gave_up (const struct hold *hold, guint32 slice, guint64 epoch);
gint64 hold_timeout (const struct view *view, const struct view_node *node);

#endif

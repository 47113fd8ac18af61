#ifndef BAMBOOTALLY_SERVE_GUARD_H
#define BAMBOOTALLY_SERVE_GUARD_H

#include "types/event.h"
#include "types/view.h"

struct core;

/* What keeps this node from serving slices that the log says are its own:
   requests that may still run at a server that does not check fences, and
   slices that it has begun to give up.  */

/* Slices that a record gave away after a node whose server does not check
   fences had gone.  */
struct guard_delay
{
  guint64 epoch; /* offset of that record */
  gint64 until;  /* no request of that node runs from then on */
};

struct serve_guard
{
  GArray *waits;     /* struct guard_delay */
  GHashTable *given; /* slice number to guint64 epoch it was given up in */
};

void guard_init (struct serve_guard *hold);
void guard_clear (struct serve_guard *hold);
void guard_before_record (struct core *core, const struct log_entry *entry,
                          gint64 now);
void guard_after_snapshot (struct core *core, guint64 before, gint64 now);
gboolean guard_is_delayed (const struct serve_guard *hold, guint64 epoch,
                           gint64 now);
gint64 guard_last_expiry (const struct serve_guard *hold);
void guard_begin_handoff (struct serve_guard *hold, guint32 slice,
                          guint64 epoch);
gboolean guard_has_begun_handoff (const struct serve_guard *hold,
                                  guint32 slice, guint64 epoch);
gint64 guard_max_run_usec (const struct view *view,
                           const struct view_node *node);

#endif

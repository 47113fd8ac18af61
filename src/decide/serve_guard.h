#ifndef BAMBOOTALLY_SERVE_GUARD_H
#define BAMBOOTALLY_SERVE_GUARD_H

#include "types/event.h"
#include "types/view.h"

struct core;

/* Reasons for this node not to serve slices that it owns on the log: requests
   that may still run at a previous owner's server that does not check fences,
   and handoffs that it has begun.  */

/* Delay of the slices that one record gave away, because a request may still
   run at the server of a removed node.  */
struct guard_delay
{
  guint64 epoch; /* offset of the record, which is the epoch of the slices */
  /* no request of the removed node runs after then, monotonic usec */
  gint64 expires_at;
};

struct serve_guard
{
  GArray *delays; /* struct guard_delay */
  /* slice number to the guint64 epoch whose handoff has begun */
  GHashTable *handoffs;
};

void guard_init (struct serve_guard *guard);
void guard_clear (struct serve_guard *guard);
void guard_before_record (struct core *core, const struct log_entry *entry,
                          gint64 now);
void guard_after_snapshot (struct core *core, guint64 before, gint64 now);
gboolean guard_is_delayed (const struct serve_guard *guard, guint64 epoch,
                           gint64 now);
gint64 guard_last_expiry (const struct serve_guard *guard);
void guard_begin_handoff (struct serve_guard *guard, guint32 slice,
                          guint64 epoch);
gboolean guard_has_begun_handoff (const struct serve_guard *guard,
                                  guint32 slice, guint64 epoch);
gint64 guard_max_run_usec (const struct view *view,
                           const struct view_node *node);

#endif

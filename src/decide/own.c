#include "decide/own.h"

#include "decide/core.h"
#include "decide/fold_owner.h"
#include "decide/move.h"
#include "decide/takeover.h"

/* Tell whether this node, which owns SLICE on the log, may serve it if its
   lease is held.  Put the fence, or the reason why not, into RIGHT.  */
static gboolean
owner_may_serve (const struct core *core, const struct view_slice *entry,
                 guint32 slice, gint64 now, struct own_right *right)
{
  gboolean handed_off = hold_gave_up (&core->hold, slice, entry->epoch);

  right->fence.offset = entry->epoch;
  if (hold_waits (&core->hold, entry->epoch, now))
    {
      right->reason = REASON_LEASE;
      return FALSE;
    }
  if (entry->move == 0 || !handed_off)
    return TRUE;
  /* A slice whose handoff has begun returns once all receivers are
     removed.  */
  right->fence.offset = entry->move;
  return handle_equal (entry->to, core->self)
         && core->lease.floor >= entry->move;
}

/* Tell whether this node may serve the slice of ENTRY by certificate if its
   lease is held.  Put the fence, or the reason why not, into RIGHT.  */
static gboolean
successor_may_serve (const struct core *core, const struct view_slice *entry,
                     gint64 now, struct own_right *right)
{
  struct takeover takeover = takeover_check (core, entry, core->self);

  if (!takeover.due)
    return FALSE;
  right->fence = takeover.fence;
  right->reason = REASON_LEASE;
  return now >= takeover.serve_at;
}

/* Tell whether this node may serve SLICE of SERVICE at NOW, and under which
   fence.  */
struct own_right
own_check (const struct core *core, const struct view_service *service,
           guint32 slice, gint64 now)
{
  struct own_right right = { FALSE, REASON_NOT_OWNER, { 0, 0 } };
  const struct view_slice *entry = view_slice_at (service, slice);

  if (entry == NULL || core->is_leaving_fleet || drain_is_closing (core)
      || !fold_is_alive (&core->view, core->self))
    return right;
  if (handle_equal (entry->owner, core->self))
    right.serves = owner_may_serve (core, entry, slice, now, &right);
  else if (entry->move != 0 && handle_equal (entry->to, core->self))
    {
      right.fence.offset = entry->move;
      right.serves = moves_was_released (core, entry);
    }
  else
    right.serves = successor_may_serve (core, entry, now, &right);
  if (!right.serves)
    return right;
  right.serves = lease_is_held (&core->lease, now);
  right.reason = right.serves ? REASON_NONE : REASON_LEASE;
  return right;
}

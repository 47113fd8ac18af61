#include "decide/ownership.h"

#include "decide/core.h"
#include "decide/apply_owner.h"
#include "decide/move.h"
#include "decide/takeover.h"

/* Tell whether this node, the owner of SLICE on the log, may serve it, lease
   apart, and under which fence.  */
static gboolean
owner_serves (const struct core *core, const struct view_slice *entry,
              guint32 slice, gint64 now, struct serve_right *right)
{
  gboolean given = guard_has_begun_handoff (&core->guard, slice, entry->epoch);

  right->fence.offset = entry->epoch;
  if (guard_is_delayed (&core->guard, entry->epoch, now))
    {
      right->reason = REASON_LEASE_EXPIRED;
      return FALSE;
    }
  if (entry->move_offset == 0 || !given)
    return TRUE;
  /* A slice that was given up comes back when its receivers have gone.  */
  right->fence.offset = entry->move_offset;
  return handle_equal (entry->receiver, core->self)
         && core->lease.floor >= entry->move_offset;
}

/* Tell whether this node may serve SLICE by certificate, lease apart, and
   under which fence.  */
static gboolean
successor_serves (const struct core *core, const struct view_slice *entry,
                  gint64 now, struct serve_right *right)
{
  struct takeover takeover = takeover_check (core, entry, core->self);

  if (!takeover.is_due)
    return FALSE;
  right->fence = takeover.fence;
  right->reason = REASON_LEASE_EXPIRED;
  return now >= takeover.serve_at;
}

/* Tell whether this node may serve SLICE of SERVICE at NOW.  */
struct serve_right
ownership_check (const struct core *core, const struct view_service *service,
                 guint32 slice, gint64 now)
{
  struct serve_right right = { FALSE, REASON_NOT_OWNER, { 0, 0 } };
  const struct view_slice *entry = view_slice_at (service, slice);

  if (entry == NULL || core->is_leaving_fleet
      || drain_has_proposed_removal (core)
      || !apply_node_is_alive (&core->view, core->self))
    return right;
  if (handle_equal (entry->owner, core->self))
    right.may_serve = owner_serves (core, entry, slice, now, &right);
  else if (entry->move_offset != 0
           && handle_equal (entry->receiver, core->self))
    {
      right.fence.offset = entry->move_offset;
      right.may_serve = moves_was_released (core, entry);
    }
  else
    right.may_serve = successor_serves (core, entry, now, &right);
  if (!right.may_serve)
    return right;
  right.may_serve = lease_is_held (&core->lease, now);
  right.reason = right.may_serve ? REASON_NONE : REASON_LEASE_EXPIRED;
  return right;
}

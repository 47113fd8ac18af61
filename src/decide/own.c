#include "decide/own.h"

#include "decide/core.h"

/* Tell whether this node may serve SLICE of SERVICE at NOW.  */
struct own_right
own_check (const struct core *core, const struct view_service *service,
           guint32 slice, gint64 now)
{
  struct own_right right = { FALSE, REASON_NOT_OWNER, { 0, 0 } };
  const struct view_slice *entry = view_slice_at (service, slice);

  if (entry == NULL || !handle_is_set (core->self)
      || !handle_equal (entry->owner, core->self) || drain_is_closing (core))
    return right;
  right.fence.offset = entry->epoch;
  right.serves = lease_is_held (&core->lease, now);
  right.reason = right.serves ? REASON_NONE : REASON_LEASE;
  return right;
}

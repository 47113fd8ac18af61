#include "decide/pick.h"

#include "decide/core.h"
#include "decide/ownership.h"
#include "decide/slice.h"
#include "decide/takeover.h"

#include <string.h>

/* The first successor of SLICE that is in the view, if it is another node and
   can be reached.  The places of those that went out stay empty.  */
static struct handle
next_of_slice (const struct core *core, const struct view_slice *slice,
               gint64 now)
{
  guint i;

  for (i = 0; i < SUCCESSOR_MAX; i++)
    {
      struct handle next = slice->successors[i];
      if (view_node_at (&core->view, next) != NULL)
        return !handle_equal (next, core->self)
                       && pick_is_reachable (core, next, now)
                   ? next
                   : HANDLE_NONE;
    }
  return HANDLE_NONE;
}

/* The node to send requests for SLICE to: PROBABLE where a certificate says
   so, otherwise its owner, or the successor that may serve in its place if the
   owner is LOST.  That one refuses if it does not serve.  */
static struct handle
node_of_slice (const struct core *core, const struct view_slice *slice,
               struct handle probable, gboolean lost, gint64 now)
{
  struct handle next;

  if (!handle_equal (probable, slice->owner))
    return probable;
  if (!lost && pick_is_reachable (core, slice->owner, now))
    return slice->owner;
  next = next_of_slice (core, slice, now);
  return handle_is_set (next) ? next : slice->owner;
}

/* Pick the owner of the key of REQUEST.  */
static struct pick
pick_owner (struct core *core, const struct view_service *service,
            struct request *request, gboolean lost, gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_OWNER, { 0, 0 } };
  const struct view_slice *slice;
  struct handle probable;
  struct serve_right right;

  request->slice = slice_of_key (service, request->key);
  if (!request->forwarded
      && strcmp (service->config.name, core->settings.service) == 0)
    meter_add (&core->meter, request->slice, now);
  right = ownership_check (core, service, request->slice, now);
  slice = view_slice_at (service, request->slice);
  if (right.may_serve)
    {
      sketch_add (&core->hot.sketch, request->key, now);
      pick.kind = PICK_LOCAL;
      pick.fence = right.fence;
      return pick;
    }
  if (slice == NULL || view_node_at (&core->view, slice->owner) == NULL)
    return pick;
  pick.fence.offset = slice->epoch;
  pick.reason = right.reason;
  probable = takeover_probable_owner (core, service, request->slice);
  if (handle_equal (probable, core->self))
    return pick;
  if (request->forwarded)
    {
      pick.reason = REASON_NOT_OWNER;
      return pick;
    }
  pick.node = node_of_slice (core, slice, probable, lost, now);
  pick.reason = REASON_PEER_LOST;
  pick.kind = pick_is_reachable (core, pick.node, now) ? PICK_PEER : PICK_NONE;
  return pick;
}

/* Pick the node that is to serve REQUEST, whose slice is filled in.  PAST
   tells what earlier attempts found.  */
struct pick
pick_node (struct core *core, struct request *request,
           const struct pick_history *past, gint64 now)
{
  struct pick none = { PICK_NONE, HANDLE_NONE, REASON_NO_RULE, { 0, 0 } };
  const struct view_service *service
      = view_find_service (&core->view, request->service);
  struct pick pick;

  if (service == NULL || !service->configured)
    return none;
  pick
      = service->config.sharded
            ? pick_owner (core, service, request, past->owner_unreachable, now)
            : pick_member (core, service, request, past, now);
  if (pick.kind == PICK_PEER && request->forwarded)
    {
      pick.kind = PICK_NONE;
      pick.reason = pick.reason == REASON_DRAINING ? REASON_DRAINING
                                                   : REASON_NOT_OWNER;
    }
  return pick;
}

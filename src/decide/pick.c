#include "decide/pick.h"

#include "decide/breaker.h"
#include "decide/core.h"
#include "decide/own.h"
#include "decide/slice.h"
#include "decide/takeover.h"

#include <string.h>

/* Tell whether requests may be sent to the node H.  */
static gboolean
is_reached (const struct core *core, struct handle h, gint64 now)
{
  const struct breaker *breaker = table_get (&core->breakers, h);

  return breaker == NULL || breaker_lets_pass (breaker, now);
}

/* The node to send requests for SLICE to: PROBABLE where a certificate says
   so, otherwise its owner, or the successor that may serve in its place if the
   owner is LOST.  That one refuses if it does not serve.  */
static struct handle
node_of_slice (const struct core *core, const struct view_slice *slice,
               struct handle probable, gboolean lost, gint64 now)
{
  struct handle next = slice->successor[0];

  if (!handle_equal (probable, slice->owner))
    return probable;
  if (!lost && is_reached (core, slice->owner, now))
    return slice->owner;
  if (view_node_at (&core->view, next) == NULL
      || handle_equal (next, core->self) || !is_reached (core, next, now))
    return slice->owner;
  return next;
}

/* Pick the owner of the key of REQUEST.  */
static struct pick
pick_owner (const struct core *core, const struct view_service *service,
            struct request *request, gboolean lost, gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_OWNER, { 0, 0 } };
  const struct view_slice *slice;
  struct handle probable;
  struct own_right right;

  request->slice = slice_of_key (service, request->key);
  right = own_check (core, service, request->slice, now);
  slice = view_slice_at (service, request->slice);
  if (right.serves)
    {
      pick.kind = PICK_OWN;
      pick.fence = right.fence;
      return pick;
    }
  if (slice == NULL || view_node_at (&core->view, slice->owner) == NULL)
    return pick;
  pick.fence.offset = slice->epoch;
  pick.reason = right.reason;
  probable = own_probable_owner (core, service, request->slice);
  if (handle_equal (probable, core->self))
    return pick;
  if (request->from_peer)
    {
      pick.reason = REASON_NOT_OWNER;
      return pick;
    }
  pick.node = node_of_slice (core, slice, probable, lost, now);
  pick.reason = REASON_PEER_LOST;
  pick.kind = is_reached (core, pick.node, now) ? PICK_PEER : PICK_NONE;
  return pick;
}

/* Pick the node that gave out the stamp of REQUEST, whose service is not
   divided.  No other node may run it; once that one is out, nobody knows
   whether the request has run.  */
static struct pick
pick_stamped (const struct core *core, const struct request *request)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_OLD_STAMP, { 0, 0 } };
  const struct view_node *node;

  if (request->stamp.era == core->settings.incarnation
      && strcmp (core->settings.service, request->service) == 0)
    {
      pick.kind = PICK_OWN;
      return pick;
    }
  pick.node = view_find_node (&core->view, request->stamp.era);
  node = view_node_at (&core->view, pick.node);
  if (node != NULL && node->state != NODE_RETIRED
      && strcmp (node->join.service, request->service) == 0)
    pick.kind = PICK_PEER;
  return pick;
}

/* Tell whether this node is to serve REQUEST of an undivided service.  */
static gboolean
serves_itself (struct core *core, const struct view_service *service,
               const struct request *request, gint64 now)
{
  return strcmp (core->settings.service, service->config.name) == 0
         && drain_takes_work (core)
         && (request->from_peer || gate_has_room (&core->gate, now));
}

/* Tell whether the member H may be given a request.  */
static gboolean
is_candidate (const struct core *core, struct handle h, struct handle avoid,
              gint64 now)
{
  return view_node_at (&core->view, h)->state == NODE_LIVE
         && !handle_equal (h, core->self) && !handle_equal (h, avoid)
         && is_reached (core, h, now);
}

/* Find another member of SERVICE, in turn: one of the same zone, otherwise
   any.  AVOID is passed over.  */
static struct handle
find_member (struct core *core, const struct view_service *service,
             struct handle avoid, gint64 now)
{
  struct handle found = HANDLE_NONE;
  guint start = core->turn++;
  guint i;

  for (i = 0; i < service->members->len; i++)
    {
      struct handle h = g_array_index (service->members, struct handle,
                                       (start + i) % service->members->len);
      const struct view_node *node = view_node_at (&core->view, h);
      if (!is_candidate (core, h, avoid, now))
        continue;
      if (strcmp (node->join.zone, core->settings.zone) == 0)
        return h;
      if (!handle_is_set (found))
        found = h;
    }
  return found;
}

/* Pick a node of a service that is not divided: this one if it serves the
   service and has a slot, otherwise another member, if there is one not the
   one that failed before.  */
static struct pick
pick_member (struct core *core, const struct view_service *service,
             const struct request *request, const struct pick_past *past,
             gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_SERVER, { 0, 0 } };

  if (request->run_class == RUN_ONCE && request->stamp.time != 0)
    return pick_stamped (core, request);
  if (serves_itself (core, service, request, now))
    {
      pick.kind = PICK_OWN;
      return pick;
    }
  if (strcmp (core->settings.service, service->config.name) == 0
      && !drain_takes_work (core))
    pick.reason = REASON_DRAINING;
  pick.node = find_member (core, service, past->avoid, now);
  if (!handle_is_set (pick.node))
    pick.node = find_member (core, service, HANDLE_NONE, now);
  if (handle_is_set (pick.node))
    pick.kind = PICK_PEER;
  return pick;
}

/* Pick the node that is to serve REQUEST, whose slice is filled in.  PAST
   tells what earlier attempts found.  */
struct pick
pick_node (struct core *core, struct request *request,
           const struct pick_past *past, gint64 now)
{
  struct pick none = { PICK_NONE, HANDLE_NONE, REASON_NO_RULE, { 0, 0 } };
  const struct view_service *service
      = view_find_service (&core->view, request->service);
  struct pick pick;

  if (service == NULL || !service->configured)
    return none;
  pick = service->config.divided
             ? pick_owner (core, service, request, past->owner_lost, now)
             : pick_member (core, service, request, past, now);
  if (pick.kind == PICK_PEER && request->from_peer)
    {
      pick.kind = PICK_NONE;
      pick.reason = pick.reason == REASON_DRAINING ? REASON_DRAINING
                                                   : REASON_NOT_OWNER;
    }
  return pick;
}

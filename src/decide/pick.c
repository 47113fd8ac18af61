#include "decide/pick.h"

#include "decide/breaker.h"
#include "decide/core.h"
#include "decide/own.h"
#include "decide/slice.h"

#include <string.h>

/* Tell whether requests may be sent to the node H.  */
static gboolean
is_reached (const struct core *core, struct handle h, gint64 now)
{
  const struct breaker *breaker = table_get (&core->breakers, h);

  return breaker == NULL || breaker_lets_pass (breaker, now);
}

/* The node to send requests for SLICE to: its owner, or the successor that
   may serve in its place if the owner is LOST.  That one refuses if it does
   not serve.  */
static struct handle
node_of_slice (const struct core *core, const struct view_slice *slice,
               gboolean lost, gint64 now)
{
  struct handle next = slice->successor[0];

  if (!lost && is_reached (core, slice->owner, now))
    return slice->owner;
  if (view_node_at (&core->view, next) == NULL
      || handle_equal (next, core->self) || !is_reached (core, next, now))
    return slice->owner;
  return next;
}

/* Pick the owner of the key of REQUEST.  */
static struct pick
pick_owner (struct core *core, const struct view_service *service,
            struct request *request, gboolean lost, gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_OWNER, { 0, 0 } };
  const struct view_slice *slice;
  struct own_right right;

  request->slice = slice_of_key (service, request->key);
  if (!request->from_peer
      && strcmp (service->config.name, core->settings.service) == 0)
    meter_add (&core->meter, request->slice, now);
  right = own_check (core, service, request->slice, now);
  slice = view_slice_at (service, request->slice);
  if (right.serves)
    {
      sketch_add (&core->hot.sketch, request->key, now);
      pick.kind = PICK_OWN;
      pick.fence = right.fence;
      return pick;
    }
  if (slice == NULL || view_node_at (&core->view, slice->owner) == NULL)
    return pick;
  pick.fence.offset = slice->epoch;
  pick.reason = right.reason;
  if (handle_equal (slice->owner, core->self))
    return pick;
  if (request->from_peer)
    {
      pick.reason = REASON_NOT_OWNER;
      return pick;
    }
  pick.node = node_of_slice (core, slice, lost, now);
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
serves_itself (const struct core *core, const struct view_service *service,
               const struct request *request)
{
  return strcmp (core->settings.service, service->config.name) == 0
         && drain_takes_work (core)
         && (request->from_peer || core->gate.busy < core->gate.slots);
}

/* Pick a node of a service that is not divided: this one if it serves the
   service and has a slot, otherwise one of the same zone, otherwise any.  */
static struct pick
pick_member (struct core *core, const struct view_service *service,
             const struct request *request, gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_SERVER, { 0, 0 } };
  guint i;
  guint start;

  if (request->run_class == RUN_ONCE && request->stamp.time != 0)
    return pick_stamped (core, request);
  if (serves_itself (core, service, request))
    {
      pick.kind = PICK_OWN;
      return pick;
    }
  if (strcmp (core->settings.service, service->config.name) == 0
      && !drain_takes_work (core))
    pick.reason = REASON_DRAINING;
  if (service->members->len == 0)
    return pick;
  start = core->turn++;
  for (i = 0; i < service->members->len; i++)
    {
      struct handle h = g_array_index (service->members, struct handle,
                                       (start + i) % service->members->len);
      const struct view_node *node = view_node_at (&core->view, h);
      if (node->state != NODE_LIVE || handle_equal (h, core->self)
          || !is_reached (core, h, now))
        continue;
      if (pick.kind == PICK_PEER
          && strcmp (node->join.zone, core->settings.zone) != 0)
        continue;
      pick.kind = PICK_PEER;
      pick.node = h;
      if (strcmp (node->join.zone, core->settings.zone) == 0)
        break;
    }
  return pick;
}

/* Pick the node that is to serve REQUEST, whose slice is filled in.  LOST
   tells that the last attempt could not reach the owner's node.  */
struct pick
pick_node (struct core *core, struct request *request, gboolean lost,
           gint64 now)
{
  struct pick none = { PICK_NONE, HANDLE_NONE, REASON_NO_RULE, { 0, 0 } };
  const struct view_service *service
      = view_find_service (&core->view, request->service);
  struct pick pick;

  if (service == NULL || !service->configured)
    return none;
  pick = service->config.divided
             ? pick_owner (core, service, request, lost, now)
             : pick_member (core, service, request, now);
  if (pick.kind == PICK_PEER && request->from_peer)
    {
      pick.kind = PICK_NONE;
      pick.reason = pick.reason == REASON_DRAINING ? REASON_DRAINING
                                                   : REASON_NOT_OWNER;
    }
  return pick;
}

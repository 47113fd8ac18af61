#include "decide/pick.h"

#include "decide/breaker.h"
#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define DRAWS 32u              /* members drawn to find candidates */
#define CANDIDATES_PER_SIDE 2u /* candidates here and elsewhere */
#define CROSS_ZONE_COST_USEC                                                  \
  ((gint64)10000) /* what a costly link counts as                             \
                   */

/* The cheapest of the candidates seen so far.  */
struct choice
{
  struct handle node;     /* the candidate, or none */
  gint64 cost_usec;       /* its estimated time, in microseconds */
  struct handle excluded; /* node that could not serve the request, or none */
  guint32 compared_count; /* candidates compared */
};

/* Tell whether requests may be sent to the node H.  */
gboolean
pick_is_reachable (const struct core *core, struct handle h, gint64 now)
{
  const struct breaker *breaker = table_get (&core->breakers, h);

  return breaker == NULL || breaker_allows (breaker, now);
}

/* Pick the node that gave out the stamp of REQUEST, whose service is not
   divided.  No other node may run it; once that one is out, nobody knows
   whether the request has run.  */
static struct pick
pick_stamped (const struct core *core, const struct request *request)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_OLD_STAMP, { 0, 0 } };
  const struct view_node *node;

  if (request->stamp.clock_incarnation == core->settings.incarnation
      && strcmp (core->settings.service, request->service) == 0)
    {
      pick.kind = PICK_LOCAL;
      return pick;
    }
  pick.node = view_find_node (&core->view, request->stamp.clock_incarnation);
  node = view_node_at (&core->view, pick.node);
  if (node != NULL && node->state != NODE_REPLACED
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
         && drain_accepts_new (core)
         && (request->forwarded
             || admission_has_free_slot (&core->admission, now));
}

/* Tell whether requests may go to the member NODE under H, by CHOICE not to
   the one that failed before.  */
static gboolean
may_serve (const struct core *core, const struct choice *choice,
           const struct view_node *node, struct handle h, gint64 now)
{
  return node != NULL && node->state == NODE_LIVE
         && !handle_equal (h, core->self)
         && !handle_equal (h, choice->excluded)
         && pick_is_reachable (core, h, now);
}

/* Compare the member NODE under H with the cheapest one in CHOICE.  */
static void
consider (const struct core *core, struct choice *choice,
          const struct view_node *node, struct handle h, gint64 now)
{
  const struct peer_load *load = table_get (&core->loads, h);
  gboolean near = strcmp (node->join.zone, core->settings.zone) == 0;
  gint64 cost = near ? 0 : CROSS_ZONE_COST_USEC;

  if (load != NULL)
    cost += peer_load_estimate_usec (load, load->in_flight, node->join.slots,
                                     now);
  choice->compared_count++;
  if (handle_is_set (choice->node) && cost >= choice->cost_usec)
    return;
  choice->node = h;
  choice->cost_usec = cost;
}

/* Compare the queue of this node, if it serves SERVICE and may let requests
   wait, with the cheapest one in CHOICE.  */
static void
consider_self (const struct core *core, struct choice *choice,
               const struct view_service *service, gint64 now)
{
  const struct peer_load *load = table_get (&core->loads, core->self);
  const struct admission *admission = &core->admission;
  gint64 cost = 0;

  if (strcmp (core->settings.service, service->config.name) != 0
      || !drain_accepts_new (core) || admission->slots == 0
      || admission->queue->len >= admission->queue_max)
    return;
  if (load != NULL)
    cost = peer_load_estimate_usec (
        load, admission->busy_slots + admission->queue->len, admission->slots,
        now);
  if (handle_is_set (choice->node) && cost >= choice->cost_usec)
    return;
  choice->node = core->self;
  choice->cost_usec = cost;
}

/* Draw members of SERVICE until there are CANDIDATES_PER_SIDE candidates in
   this zone and as many elsewhere, and keep the cheapest of all: another zone
   is taken only where its estimated time is shorter by the cost of the link.
 */
static void
draw_members (struct core *core, struct choice *choice,
              const struct view_service *service, gint64 now)
{
  guint32 near = 0;
  guint32 far = 0;
  guint i;

  for (i = 0;
       i < DRAWS && (near < CANDIDATES_PER_SIDE || far < CANDIDATES_PER_SIDE);
       i++)
    {
      guint64 draw
          = slice_rank (core->settings.random_seed, ++core->random_count);
      struct handle h = g_array_index (service->members, struct handle,
                                       draw % service->members->len);
      const struct view_node *node = view_node_at (&core->view, h);
      guint32 *seen;
      if (!may_serve (core, choice, node, h, now))
        continue;
      seen = strcmp (node->join.zone, core->settings.zone) == 0 ? &near : &far;
      if ((*seen)++ < CANDIDATES_PER_SIDE)
        consider (core, choice, node, h, now);
    }
}

/* Take any member of SERVICE, in turn.  */
static void
take_any (struct core *core, struct choice *choice,
          const struct view_service *service, gint64 now)
{
  guint start = core->round_robin_count++;
  guint i;

  for (i = 0; i < service->members->len && choice->compared_count == 0; i++)
    {
      struct handle h = g_array_index (service->members, struct handle,
                                       (start + i) % service->members->len);
      const struct view_node *node = view_node_at (&core->view, h);
      if (may_serve (core, choice, node, h, now))
        consider (core, choice, node, h, now);
    }
}

/* Pick a node of a service that is not divided: this one if it serves the
   service and has a slot; otherwise the cheapest of a few drawn ones and of
   this node's own queue, and the one that failed before only if there is no
   other.  */
struct pick
pick_member (struct core *core, const struct view_service *service,
             const struct request *request, const struct pick_history *past,
             gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_SERVER, { 0, 0 } };
  struct choice choice = { .excluded = past->failed_node };

  if (request->run_class == RUN_ONCE && request->stamp.time_usec != 0)
    return pick_stamped (core, request);
  if (serves_itself (core, service, request, now))
    {
      pick.kind = PICK_LOCAL;
      return pick;
    }
  if (strcmp (core->settings.service, service->config.name) == 0
      && !drain_accepts_new (core))
    pick.reason = REASON_DRAINING;
  if (service->members->len == 0)
    return pick;
  draw_members (core, &choice, service, now);
  take_any (core, &choice, service, now);
  choice.excluded = HANDLE_NONE;
  take_any (core, &choice, service, now);
  consider_self (core, &choice, service, now);
  if (!handle_is_set (choice.node))
    return pick;
  pick.kind = handle_equal (choice.node, core->self) ? PICK_LOCAL : PICK_PEER;
  pick.node = choice.node;
  return pick;
}

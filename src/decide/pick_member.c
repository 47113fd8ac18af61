#include "decide/pick.h"

#include "decide/breaker.h"
#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define SAMPLES_MAX 32u /* members sampled to find candidates */
#define CANDIDATES_PER_SIDE                                                   \
  2u /* candidates in this zone, and in other zones */
#define CROSS_ZONE_COST_USEC                                                  \
  ((gint64)10000) /* added to the estimated time of a node in another zone */

/* The best candidate so far.  */
struct choice
{
  struct handle node;     /* the candidate, or none */
  gint64 cost_usec;       /* estimated time of the candidate in microseconds */
  struct handle excluded; /* node that could not serve the request, or none */
  guint32 compared_count; /* candidates compared so far */
};

/* Return whether requests may be sent to the node H: its circuit breaker lets
   them pass.  */
gboolean
pick_is_reachable (const struct core *core, struct handle h, gint64 now)
{
  const struct breaker *breaker = table_get (&core->breakers, h);

  return breaker == NULL || breaker_allows (breaker, now);
}

/* Pick the node that issued the stamp of REQUEST, whose service is not
   sharded.  No other node may run the request.  Once that node is removed, it
   is unknown whether the request has run.  */
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

/* Return whether this node serves REQUEST of an unsharded service itself.  */
static gboolean
serves_locally (struct core *core, const struct view_service *service,
                const struct request *request, gint64 now)
{
  return strcmp (core->settings.service, service->config.name) == 0
         && drain_accepts_new (core)
         && (request->forwarded
             || admission_has_free_slot (&core->admission, now));
}

/* Return whether requests may go to NODE, whose handle is H.  The node that
   CHOICE excludes is not eligible.  */
static gboolean
is_eligible (const struct core *core, const struct choice *choice,
             const struct view_node *node, struct handle h, gint64 now)
{
  return node != NULL && node->state == NODE_LIVE
         && !handle_equal (h, core->self)
         && !handle_equal (h, choice->excluded)
         && pick_is_reachable (core, h, now);
}

/* Compare NODE, whose handle is H, with the best candidate in CHOICE.  */
static void
consider (const struct core *core, struct choice *choice,
          const struct view_node *node, struct handle h, gint64 now)
{
  const struct peer_load *load = table_get (&core->loads, h);
  gboolean is_local = strcmp (node->join.zone, core->settings.zone) == 0;
  gint64 cost = is_local ? 0 : CROSS_ZONE_COST_USEC;

  if (load != NULL)
    cost += peer_load_estimate_usec (load, load->in_flight, node->join.slots,
                                     now);
  choice->compared_count++;
  if (handle_is_set (choice->node) && cost >= choice->cost_usec)
    return;
  choice->node = h;
  choice->cost_usec = cost;
}

/* Compare the queue of this node with the best candidate in CHOICE, if this
   node serves SERVICE and its queue has room.  */
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

/* Sample members of SERVICE until there are CANDIDATES_PER_SIDE candidates in
   this zone and as many in other zones, and keep the one with the lowest
   estimated time in CHOICE.  A node in another zone is chosen only where its
   estimated time is shorter by CROSS_ZONE_COST_USEC.  */
static void
sample_members (struct core *core, struct choice *choice,
                const struct view_service *service, gint64 now)
{
  guint32 local = 0;
  guint32 remote = 0;
  guint i;

  for (i = 0; i < SAMPLES_MAX
              && (local < CANDIDATES_PER_SIDE || remote < CANDIDATES_PER_SIDE);
       i++)
    {
      guint64 random
          = slice_rank (core->settings.random_seed, ++core->random_count);
      struct handle h = g_array_index (service->members, struct handle,
                                       random % service->members->len);
      const struct view_node *node = view_node_at (&core->view, h);
      guint32 *count;
      if (!is_eligible (core, choice, node, h, now))
        continue;
      count = strcmp (node->join.zone, core->settings.zone) == 0 ? &local
                                                                 : &remote;
      if ((*count)++ < CANDIDATES_PER_SIDE)
        consider (core, choice, node, h, now);
    }
}

/* Compare the next eligible member of SERVICE in round-robin order, if CHOICE
   has none yet.  */
static void
consider_next (struct core *core, struct choice *choice,
               const struct view_service *service, gint64 now)
{
  guint start = core->round_robin_count++;
  guint i;

  for (i = 0; i < service->members->len && choice->compared_count == 0; i++)
    {
      struct handle h = g_array_index (service->members, struct handle,
                                       (start + i) % service->members->len);
      const struct view_node *node = view_node_at (&core->view, h);
      if (is_eligible (core, choice, node, h, now))
        consider (core, choice, node, h, now);
    }
}

/* Pick a node of a service that is not sharded.  This node is picked if it
   serves the service and has a free slot.  Otherwise the choice is the best of
   a few sampled members and the queue of this node.  The node that failed
   before is picked only if there is no other.  */
struct pick
pick_member (struct core *core, const struct view_service *service,
             const struct request *request, const struct pick_history *history,
             gint64 now)
{
  struct pick pick = { PICK_NONE, HANDLE_NONE, REASON_NO_SERVER, { 0, 0 } };
  struct choice choice = { .excluded = history->failed_node };

  if (request->run_class == RUN_ONCE && request->stamp.time_usec != 0)
    return pick_stamped (core, request);
  if (serves_locally (core, service, request, now))
    {
      pick.kind = PICK_LOCAL;
      return pick;
    }
  if (strcmp (core->settings.service, service->config.name) == 0
      && !drain_accepts_new (core))
    pick.reason = REASON_DRAINING;
  if (service->members->len == 0)
    return pick;
  sample_members (core, &choice, service, now);
  consider_next (core, &choice, service, now);
  choice.excluded = HANDLE_NONE;
  consider_next (core, &choice, service, now);
  consider_self (core, &choice, service, now);
  if (!handle_is_set (choice.node))
    return pick;
  pick.kind = handle_equal (choice.node, core->self) ? PICK_LOCAL : PICK_PEER;
  pick.node = choice.node;
  return pick;
}

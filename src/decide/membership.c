#include "decide/membership.h"

#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/witness_set.h"

#include <string.h>

/* Time that running requests of a removed node get to end.  */
#define EXIT_GRACE_USEC ((gint64)2000000)

/* Return the incarnation that the view still shows at ADDRESS, 0 if there is
   none.  */
static guint64
find_predecessor (const struct view *view, struct address address)
{
  struct handle h = table_next (&view->nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      const struct view_node *node = view_node_at (view, h);
      if (node->state != NODE_REPLACED
          && address_equal (node->join.peer_address, address))
        return node->join.incarnation;
    }
  return 0;
}

/* Propose the join of this node.  */
static void
propose_join (struct core *core)
{
  const struct core_settings *settings = &core->settings;
  struct record_join *join
      = &outbox_propose (&core->outbox, RECORD_JOIN)->body.join;

  join->incarnation = settings->incarnation;
  join->replaced_incarnation
      = find_predecessor (&core->view, settings->peer_address);
  g_strlcpy (join->host, settings->host, sizeof join->host);
  g_strlcpy (join->zone, settings->zone, sizeof join->zone);
  g_strlcpy (join->service, settings->service, sizeof join->service);
  g_strlcpy (join->server, core->server.server, sizeof join->server);
  join->http_address = settings->front_address;
  join->peer_address = settings->peer_address;
  join->slots = core->server.slots;
  join->checks_fences = core->server.checks_fences;
}

/* Removal */

/* Propose that INCARNATION, which owns nothing or is this node, is removed for
   CAUSE.  */
static void
propose_removal (struct core *core, guint64 incarnation, guint64 floor,
                 enum removal_cause cause)
{
  struct record_removed *body
      = &outbox_propose (&core->outbox, RECORD_REMOVED)->body.removed;

  body->incarnation = incarnation;
  body->floor = floor;
  body->cause = cause;
}

/* Leave the fleet if the lease has expired and can never be renewed.  The node
   serves nothing from now on and proposes its own removal, with its floor,
   because no other node knows so exactly which handoffs have begun.  It
   restarts as a new incarnation once the removal is on the log.  */
static void
leave_if_unrenewable (struct core *core, gint64 now)
{
  if (core->is_leaving_fleet || lease_is_held (&core->lease, now)
      || lease_can_renew (&core->lease, &core->view))
    return;
  core->is_leaving_fleet = TRUE;
  propose_removal (core, core->settings.incarnation, core->lease.floor,
                   REMOVAL_GAVE_UP);
}

/* Propose the removal of the previous node at this address, once it owns
   nothing on the log any more.  */
static void
remove_predecessor (struct core *core)
{
  struct handle h = table_next (&core->view.nodes, HANDLE_NONE);

  if (outbox_has (&core->outbox, RECORD_REMOVED))
    return;
  for (; handle_is_set (h); h = table_next (&core->view.nodes, h))
    {
      const struct view_node *node = view_node_at (&core->view, h);
      if (node->state == NODE_REPLACED && node->owned_slice_count == 0
          && address_equal (node->join.peer_address,
                            core->settings.peer_address))
        {
          propose_removal (core, node->join.incarnation, 0, REMOVAL_LEFT);
          return;
        }
    }
}

/* Tell whether the backend server runs a request of this node.  */
static gboolean
has_running_request (const struct core *core)
{
  struct handle h = table_next (&core->requests, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->requests, h))
    {
      const struct inflight *inflight = table_get (&core->requests, h);
      if (inflight->phase == INFLIGHT_RUNNING)
        return TRUE;
    }
  return FALSE;
}

/* Exit if the view shows this node as removed or replaced.  The node admits
   nothing, and running requests get EXIT_GRACE_USEC to end.  The process
   restarts as a new incarnation unless the node had been leaving.  The drain
   module ends a graceful stop instead.  */
static void
exit_when_idle (struct core *core, gint64 now, struct actions *out)
{
  core->is_leaving_fleet = TRUE;
  if (core->drain.is_requested)
    return;
  if (core->exit_at == 0)
    core->exit_at = now + EXIT_GRACE_USEC;
  if (core->exit_requested
      || (has_running_request (core) && now < core->exit_at))
    return;
  core->exit_requested = TRUE;
  actions_add (out, ACTION_EXIT)->u.exit.restart = !core->was_leaving;
}

/* Update the state of this node from the view.  Return whether it may act as a
   member.  */
static gboolean
update_self (struct core *core, gint64 now, struct actions *out)
{
  const struct view_node *node;

  core->self = view_find_node (&core->view, core->settings.incarnation);
  node = view_node_at (&core->view, core->self);
  if (node != NULL && node->state == NODE_LEAVING)
    core->was_leaving = TRUE;
  if ((node == NULL && core->has_joined)
      || (node != NULL && node->state == NODE_REPLACED))
    {
      exit_when_idle (core, now, out);
      return FALSE;
    }
  core->has_joined = core->has_joined || node != NULL;
  return TRUE;
}

/* Propose the join of this node once it has read the log to its end and its
   server has announced itself; later keep its witness set and its predecessor
   up to date.  */
void
membership_step (struct core *core, gint64 now, struct actions *out)
{
  if (!update_self (core, now, out) || !core->has_reached_log_end)
    return;
  if (!core->has_joined)
    {
      if (core->has_server && !core->drain.is_requested
          && !outbox_has (&core->outbox, RECORD_JOIN))
        propose_join (core);
      return;
    }
  leave_if_unrenewable (core, now);
  if (core->is_leaving_fleet)
    return;
  witness_set_step (core);
  remove_predecessor (core);
}

#include "decide/membership.h"

#include "decide/core.h"
#include "decide/inflight.h"
#include "decide/witness_set.h"

#include <string.h>

#define EXIT_GRACE_USEC                                                       \
  ((gint64)2000000) /* for work in flight of a node that is out */

/* The node that the log still shows at ADDRESS, 0 if there is none.  */
static guint64
predecessor (const struct view *view, struct address address)
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

/* Propose the join of this node once it has read the log to its tail and its
   server has announced itself.  */
static void
propose_join (struct core *core)
{
  const struct core_settings *settings = &core->settings;
  struct record_join *join
      = &outbox_propose (&core->outbox, RECORD_JOIN)->body.join;

  join->incarnation = settings->incarnation;
  join->replaced_incarnation
      = predecessor (&core->view, settings->peer_address);
  g_strlcpy (join->host, settings->host, sizeof join->host);
  g_strlcpy (join->zone, settings->zone, sizeof join->zone);
  g_strlcpy (join->service, settings->service, sizeof join->service);
  g_strlcpy (join->server, core->server.server, sizeof join->server);
  join->http_address = settings->front_address;
  join->peer_address = settings->peer_address;
  join->slots = core->server.slots;
  join->checks_fences = core->server.checks_fences;
}

/* Going out */

/* Propose that INCARNATION, which owns nothing or is this node, is out for
   CAUSE.  */
static void
propose_out (struct core *core, guint64 incarnation, guint64 floor,
             enum removal_cause cause)
{
  struct record_removed *body
      = &outbox_propose (&core->outbox, RECORD_REMOVED)->body.removed;

  body->incarnation = incarnation;
  body->floor = floor;
  body->cause = cause;
}

/* A node whose lease has lapsed and can never be renewed serves nothing from
   here on and goes out with its own floor, to come back as a new incarnation.
   Nobody knows better how far its giving-ups have begun.  */
static void
give_up_lease (struct core *core, gint64 now)
{
  if (core->is_leaving_fleet || lease_is_held (&core->lease, now)
      || lease_can_renew (&core->lease, &core->view))
    return;
  core->is_leaving_fleet = TRUE;
  propose_out (core, core->settings.incarnation, core->lease.floor,
               REMOVAL_GAVE_UP);
}

/* Propose that the node before this one at its address is out, once it owns
   nothing on the log any more.  */
static void
clear_predecessor (struct core *core)
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
          propose_out (core, node->join.incarnation, 0, REMOVAL_LEFT);
          return;
        }
    }
}

/* Tell whether the server runs work of this node.  */
static gboolean
has_work (const struct core *core)
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

/* End a node that the log shows out or retired: it admits nothing, and what
   its server still runs gets a while to answer.  It comes back as a new
   incarnation unless it had wanted to leave.  The end of a graceful stop is
   the business of drain.  */
static void
leave (struct core *core, gint64 now, struct actions *out)
{
  core->is_leaving_fleet = TRUE;
  if (core->drain.is_requested)
    return;
  if (core->exit_at == 0)
    core->exit_at = now + EXIT_GRACE_USEC;
  if (core->exit_requested || (has_work (core) && now < core->exit_at))
    return;
  core->exit_requested = TRUE;
  actions_add (out, ACTION_EXIT)->u.exit.restart = !core->was_leaving;
}

/* Follow this node as the log shows it.  Return whether it is a node that may
   act.  */
static gboolean
follow_self (struct core *core, gint64 now, struct actions *out)
{
  const struct view_node *node;

  core->self = view_find_node (&core->view, core->settings.incarnation);
  node = view_node_at (&core->view, core->self);
  if (node != NULL && node->state == NODE_LEAVING)
    core->was_leaving = TRUE;
  if ((node == NULL && core->has_joined)
      || (node != NULL && node->state == NODE_REPLACED))
    {
      leave (core, now, out);
      return FALSE;
    }
  core->has_joined = core->has_joined || node != NULL;
  return TRUE;
}

/* Do what membership needs now.  */
void
membership_step (struct core *core, gint64 now, struct actions *out)
{
  if (!follow_self (core, now, out) || !core->has_reached_log_end)
    return;
  if (!core->has_joined)
    {
      if (core->has_server && !core->drain.is_requested
          && !outbox_has (&core->outbox, RECORD_JOIN))
        propose_join (core);
      return;
    }
  give_up_lease (core, now);
  if (core->is_leaving_fleet)
    return;
  witness_set_step (core);
  clear_predecessor (core);
}

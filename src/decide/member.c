#include "decide/member.h"

#include "decide/core.h"
#include "decide/flight.h"
#include "decide/slice.h"

#include <string.h>

#define WITNESS_WANTED 3u /* witnesses of a node */
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
      if (node->state != NODE_RETIRED
          && address_equal (node->join.peer, address))
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
  join->retires = predecessor (&core->view, settings->peer);
  g_strlcpy (join->host, settings->host, sizeof join->host);
  g_strlcpy (join->zone, settings->zone, sizeof join->zone);
  g_strlcpy (join->service, settings->service, sizeof join->service);
  g_strlcpy (join->server, core->server.server, sizeof join->server);
  join->front = settings->front;
  join->peer = settings->peer;
  join->slots = core->server.slots;
  join->checks_fences = core->server.checks_fences;
}

/* Witnesses */

/* Tell whether a node of ZONE is in SET.  */
static gboolean
zone_taken (const struct view *view, const guint64 *set, guint32 count,
            const char *zone)
{
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct view_node *node
          = view_node_at (view, view_find_node (view, set[i]));
      if (node != NULL && strcmp (node->join.zone, zone) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Find the node that ranks first as the next witness of NODE: not on its
   host, not in SET, and, if NEW_ZONE is set, in a zone that SET has not.  */
static guint64
next_witness (const struct view *view, const struct view_node *node,
              const guint64 *set, guint32 count, gboolean new_zone)
{
  struct handle h = table_next (&view->nodes, HANDLE_NONE);
  guint64 best = 0;
  guint64 best_rank = G_MAXUINT64;
  guint32 i;

  for (; handle_is_set (h); h = table_next (&view->nodes, h))
    {
      const struct view_node *other = view_node_at (view, h);
      guint64 rank
          = slice_rank (node->join.incarnation, other->join.incarnation);
      gboolean in_set = FALSE;
      for (i = 0; i < count; i++)
        in_set = in_set || set[i] == other->join.incarnation;
      if (in_set || other->state != NODE_LIVE || rank >= best_rank
          || strcmp (other->join.host, node->join.host) == 0
          || (new_zone && zone_taken (view, set, count, other->join.zone)))
        continue;
      best = other->join.incarnation;
      best_rank = rank;
    }
  return best;
}

/* Choose the witnesses of NODE into SET: on other hosts, one a zone while
   zones last.  Return how many there are; an odd number, or two or fewer
   where there are no more nodes.  */
guint32
member_choose_witnesses (const struct view *view, struct handle node,
                         guint64 *set)
{
  const struct view_node *self = view_node_at (view, node);
  guint32 count = 0;

  while (count < WITNESS_WANTED)
    {
      guint64 next = next_witness (view, self, set, count, TRUE);
      if (next == 0)
        next = next_witness (view, self, set, count, FALSE);
      if (next == 0)
        break;
      set[count++] = next;
    }
  if (count == 2)
    count = 1;
  return count;
}

/* Tell whether NODE wants the witness set SET: it has fewer witnesses now, or
   one of them is not live.  */
static gboolean
set_wants_change (const struct view *view, const struct view_node *node,
                  const guint64 *set, guint32 count)
{
  guint32 i;

  if (count == node->witness_count
      && memcmp (set, node->witnesses, count * sizeof set[0]) == 0)
    return FALSE;
  if (node->witness_count < count)
    return TRUE;
  for (i = 0; i < node->witness_count; i++)
    {
      const struct view_node *witness
          = view_node_at (view, view_find_node (view, node->witnesses[i]));
      if (witness == NULL || witness->state != NODE_LIVE)
        return TRUE;
    }
  return FALSE;
}

/* Propose a witness set for this node if it wants one and the last change is
   complete.  */
static void
propose_witnesses (struct core *core)
{
  const struct view_node *node = view_node_at (&core->view, core->self);
  guint64 set[WITNESS_MAX] = { 0 };
  guint32 count;
  struct record_witness *body;

  if (outbox_has (&core->outbox, RECORD_WITNESS) || core->lease.joint
      || core->lease.epoch != node->witness_epoch)
    return;
  count = member_choose_witnesses (&core->view, core->self, set);
  if (count == 0 || !set_wants_change (&core->view, node, set, count))
    return;
  body = &outbox_propose (&core->outbox, RECORD_WITNESS)->body.witness;
  body->incarnation = node->join.incarnation;
  body->epoch = node->witness_epoch;
  body->count = count;
  memcpy (body->set, set, count * sizeof set[0]);
}

/* Going out */

/* Propose that INCARNATION, which owns nothing or is this node, is out.  */
static void
propose_out (struct core *core, guint64 incarnation, guint64 floor)
{
  struct record_out *body
      = &outbox_propose (&core->outbox, RECORD_OUT)->body.out;

  body->incarnation = incarnation;
  body->floor = floor;
  body->cause = OUT_LEFT;
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
  propose_out (core, core->settings.incarnation, core->lease.floor);
}

/* Propose that the node before this one at its address is out, once it owns
   nothing on the log any more.  */
static void
clear_predecessor (struct core *core)
{
  struct handle h = table_next (&core->view.nodes, HANDLE_NONE);

  if (outbox_has (&core->outbox, RECORD_OUT))
    return;
  for (; handle_is_set (h); h = table_next (&core->view.nodes, h))
    {
      const struct view_node *node = view_node_at (&core->view, h);
      if (node->state == NODE_RETIRED && node->owned == 0
          && address_equal (node->join.peer, core->settings.peer))
        {
          propose_out (core, node->join.incarnation, 0);
          return;
        }
    }
}

/* Tell whether the server runs work of this node.  */
static gboolean
has_work (const struct core *core)
{
  struct handle h = table_next (&core->flights, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->flights, h))
    {
      const struct flight *flight = table_get (&core->flights, h);
      if (flight->phase == FLIGHT_RUNNING)
        return TRUE;
    }
  return FALSE;
}

/* End a node that the log shows out or retired: it admits nothing, and what
   its server still runs gets a while to answer.  It comes back as a new
   incarnation unless it had wanted to leave.  */
static void
leave (struct core *core, gint64 now, struct actions *out)
{
  core->is_leaving_fleet = TRUE;
  if (core->exit_at == 0)
    core->exit_at = now + EXIT_GRACE_USEC;
  if (core->exited || (has_work (core) && now < core->exit_at))
    return;
  core->exited = TRUE;
  actions_add (out, ACTION_EXIT)->u.exit.again = !core->wants_out;
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
    core->wants_out = TRUE;
  if ((node == NULL && core->joined)
      || (node != NULL && node->state == NODE_RETIRED))
    {
      leave (core, now, out);
      return FALSE;
    }
  core->joined = core->joined || node != NULL;
  return TRUE;
}

/* Do what membership needs now.  */
void
member_step (struct core *core, gint64 now, struct actions *out)
{
  if (!follow_self (core, now, out) || !core->at_tail)
    return;
  if (!core->joined)
    {
      if (core->has_server && !outbox_has (&core->outbox, RECORD_JOIN))
        propose_join (core);
      return;
    }
  give_up_lease (core, now);
  if (core->is_leaving_fleet)
    return;
  propose_witnesses (core);
  clear_predecessor (core);
}

#include "decide/member.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define WITNESS_WANTED 3u /* witnesses of a node */

/* Propose the join of this node once it has read the log to its tail and its
   server has announced itself.  */
static void
propose_join (struct core *core)
{
  const struct core_settings *settings = &core->settings;
  struct record_join *join
      = &outbox_propose (&core->outbox, RECORD_JOIN)->body.join;

  join->incarnation = settings->incarnation;
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

/* Tell whether the witness set of NODE wants a change: it is short, or one of
   it is out.  */
static gboolean
set_wants_change (const struct view *view, const struct view_node *node,
                  guint32 best)
{
  guint32 i;

  if (node->witness_count < best)
    return TRUE;
  for (i = 0; i < node->witness_count; i++)
    {
      const struct view_node *witness
          = view_node_at (view, view_find_node (view, node->witnesses[i]));
      if (witness == NULL || witness->state == NODE_RETIRED)
        return TRUE;
    }
  return FALSE;
}

/* Propose a witness set for this node if it wants one.  */
static void
propose_witnesses (struct core *core)
{
  const struct view_node *node = view_node_at (&core->view, core->self);
  guint64 set[WITNESS_MAX];
  guint32 count;
  struct record_witness *body;

  if (outbox_has (&core->outbox, RECORD_WITNESS) || core->lease.joint)
    return;
  count = member_choose_witnesses (&core->view, core->self, set);
  if (count == 0 || !set_wants_change (&core->view, node, count))
    return;
  body = &outbox_propose (&core->outbox, RECORD_WITNESS)->body.witness;
  body->incarnation = node->join.incarnation;
  body->epoch = node->witness_epoch;
  body->count = count;
  memcpy (body->set, set, count * sizeof set[0]);
}

/* Do what membership needs now.  */
void
member_step (struct core *core, gint64 now, struct actions *out)
{
  (void)now;
  (void)out;
  core->self = view_find_node (&core->view, core->settings.incarnation);
  if (!core->at_tail)
    return;
  if (handle_is_set (core->self))
    propose_witnesses (core);
  else if (core->has_server && !core->joined && !core->drain.asked
           && !outbox_has (&core->outbox, RECORD_JOIN))
    propose_join (core);
  core->joined = core->joined || handle_is_set (core->self);
}

#include "decide/relay.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define PEER_FAILURES_MAX 2u /* failed peers after which the log is read */
/* Time that the log is read after so many failed peers.  */
#define LOG_FALLBACK_USEC ((gint64)10000000)

/* A node of the zone with its rank.  */
struct ranked_node
{
  guint64 rank;       /* rank of the node; the lowest comes first */
  struct handle node; /* handle of the node */
};

/* Return the rank of the node that the node at RANK reads from after FAILURES
   failures.  Nodes with ranks below RELAYS read the log; RANK must not be one
   of them.  */
guint32
relay_parent (guint32 rank, guint32 relays, guint32 failures)
{
  return ((rank - relays) / RELAY_FANOUT + failures) % rank;
}

/* Compare two nodes by rank.  */
static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  const struct ranked_node *left = a;
  const struct ranked_node *right = b;

  return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* Return the live nodes of this node's zone, ordered by rank.  */
static GArray *
rank_zone (const struct core *core)
{
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (struct ranked_node));
  guint64 zone = slice_hash_text (core->settings.zone);
  struct handle h = table_next (&core->view.nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->view.nodes, h))
    {
      const struct view_node *node = view_node_at (&core->view, h);
      struct ranked_node entry
          = { slice_rank (zone, node->join.incarnation), h };
      if (node->state == NODE_LIVE
          && strcmp (node->join.zone, core->settings.zone) == 0)
        g_array_append_val (nodes, entry);
    }
  g_array_sort (nodes, compare_ranks);
  return nodes;
}

/* Return the node to read from, or HANDLE_NONE to read the log.  */
static struct handle
choose_source (const struct core *core)
{
  GArray *nodes = rank_zone (core);
  guint32 relays = core->settings.relays_per_zone;
  struct handle source = HANDLE_NONE;
  guint32 rank;

  for (rank = 0; rank < nodes->len; rank++)
    if (handle_equal (g_array_index (nodes, struct ranked_node, rank).node,
                      core->self))
      break;
  if (rank < nodes->len && rank >= relays)
    source = g_array_index (
                 nodes, struct ranked_node,
                 relay_parent (rank, relays, core->relay.failure_count))
                 .node;
  g_array_free (nodes, TRUE);
  return source;
}

/* Tell whether this node may read from a peer now.  Until it has read to the
   end of the log, and while it waits to read back its own appends, it reads
   the log itself.  */
static gboolean
may_read_peer (const struct core *core, gint64 now)
{
  const struct view_node *self = view_node_at (&core->view, core->self);

  return core->settings.relays_per_zone > 0 && core->has_reached_log_end
         && !core->is_log_down && core->view.unsupported_offset == 0
         && self != NULL && self->state == NODE_LIVE
         && core->outbox.items->len == 0 && now >= core->relay.log_only_until;
}

/* Read from SOURCE from now on, or from the log if it is HANDLE_NONE.  */
static void
read_from (struct core *core, struct handle source, struct actions *out)
{
  struct relay *relay = &core->relay;
  const struct view_node *node = view_node_at (&core->view, source);
  struct action_read_log *action;

  if (relay->from_peer == (node != NULL)
      && (node == NULL || relay->peer_incarnation == node->join.incarnation))
    return;
  relay->from_peer = node != NULL;
  relay->peer_incarnation = node != NULL ? node->join.incarnation : 0;
  action = &actions_add (out, ACTION_READ_LOG)->u.read_log;
  action->offset = core->view.applied_offset;
  action->from_peer = relay->from_peer;
  action->peer_incarnation = relay->peer_incarnation;
  if (node != NULL)
    action->address = node->join.peer_address;
}

/* Choose the source again if the view has changed.  */
void
relay_step (struct core *core, gint64 now, struct actions *out)
{
  struct relay *relay = &core->relay;

  if (!may_read_peer (core, now))
    {
      relay->chosen_at_offset = 0;
      read_from (core, HANDLE_NONE, out);
      return;
    }
  if (relay->chosen_at_offset == core->view.applied_offset)
    return;
  relay->chosen_at_offset = core->view.applied_offset;
  read_from (core, choose_source (core), out);
}

/* Handle a source that failed or is stale: switch to the next peer, and after
   PEER_FAILURES_MAX failures to the log for LOG_FALLBACK_USEC.  */
void
relay_on_failed (struct core *core, gint64 now, struct actions *out)
{
  struct relay *relay = &core->relay;

  relay->chosen_at_offset = 0;
  relay->failure_count++;
  if (relay->failure_count >= PEER_FAILURES_MAX)
    {
      relay->failure_count = 0;
      relay->log_only_until = now + LOG_FALLBACK_USEC;
    }
  relay_step (core, now, out);
}

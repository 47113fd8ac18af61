#include "decide/relay.h"

#include "decide/core.h"
#include "decide/slice.h"

#include <string.h>

#define SOURCES_TRIED 2u /* peers tried before the log */
#define LOG_INSTEAD_USEC                                                      \
  ((gint64)10000000) /* the log is then read so long                          \
                      */

/* A node of the zone with its rank among them.  */
struct ranked
{
  guint64 rank;     /* the lowest comes first */
  struct handle at; /* the node */
};

/* The place, among the nodes of a zone, of the one that the node at RANK reads
   from after so many FAILURES.  Only for a RANK of at least RELAYS.  */
guint32
relay_parent (guint32 rank, guint32 relays, guint32 failures)
{
  return ((rank - relays) / RELAY_FANOUT + failures) % rank;
}

/* Order by rank.  */
static gint
by_rank (gconstpointer a, gconstpointer b)
{
  const struct ranked *left = a;
  const struct ranked *right = b;

  return left->rank < right->rank ? -1 : left->rank > right->rank;
}

/* The live nodes of this node's zone in order of rank.  */
static GArray *
rank_zone (const struct core *core)
{
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (struct ranked));
  guint64 zone = slice_hash_text (core->settings.zone);
  struct handle h = table_next (&core->view.nodes, HANDLE_NONE);

  for (; handle_is_set (h); h = table_next (&core->view.nodes, h))
    {
      const struct view_node *node = view_node_at (&core->view, h);
      struct ranked ranked = { slice_rank (zone, node->join.incarnation), h };
      if (node->state == NODE_LIVE
          && strcmp (node->join.zone, core->settings.zone) == 0)
        g_array_append_val (nodes, ranked);
    }
  g_array_sort (nodes, by_rank);
  return nodes;
}

/* The node to read from, HANDLE_NONE for the log.  */
static struct handle
choose_source (const struct core *core)
{
  GArray *nodes = rank_zone (core);
  guint32 relays = core->settings.relays_per_zone;
  struct handle source = HANDLE_NONE;
  guint32 rank;

  for (rank = 0; rank < nodes->len; rank++)
    if (handle_equal (g_array_index (nodes, struct ranked, rank).at,
                      core->self))
      break;
  if (rank < nodes->len && rank >= relays)
    source = g_array_index (
                 nodes, struct ranked,
                 relay_parent (rank, relays, core->relay.failure_count))
                 .at;
  g_array_free (nodes, TRUE);
  return source;
}

/* Tell whether this node may read from a peer now.  What it has appended is
   read back from the log itself, and so is the way to the tail.  */
static gboolean
may_follow (const struct core *core, gint64 now)
{
  const struct view_node *self = view_node_at (&core->view, core->self);

  return core->settings.relays_per_zone > 0 && core->has_reached_log_end
         && !core->is_log_down && core->view.unsupported_offset == 0
         && self != NULL && self->state == NODE_LIVE
         && core->outbox.items->len == 0 && now >= core->relay.log_only_until;
}

/* Read from SOURCE from now on, the log if it is none.  */
static void
read_from (struct core *core, struct handle source, struct actions *out)
{
  struct relay *relay = &core->relay;
  const struct view_node *node = view_node_at (&core->view, source);
  struct action_read_log *fetch;

  if (relay->from_peer == (node != NULL)
      && (node == NULL || relay->peer_incarnation == node->join.incarnation))
    return;
  relay->from_peer = node != NULL;
  relay->peer_incarnation = node != NULL ? node->join.incarnation : 0;
  fetch = &actions_add (out, ACTION_READ_LOG)->u.fetch;
  fetch->offset = core->view.applied_offset;
  fetch->from_peer = relay->from_peer;
  fetch->peer_incarnation = relay->peer_incarnation;
  if (node != NULL)
    fetch->address = node->join.peer_address;
}

/* Choose the source anew if the view has changed.  */
void
relay_step (struct core *core, gint64 now, struct actions *out)
{
  struct relay *relay = &core->relay;

  if (!may_follow (core, now))
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

/* The peer that records came from failed or is stale: take the next one, and
   after a few the log for a while.  */
void
relay_on_failed (struct core *core, gint64 now, struct actions *out)
{
  struct relay *relay = &core->relay;

  relay->chosen_at_offset = 0;
  relay->failure_count++;
  if (relay->failure_count >= SOURCES_TRIED)
    {
      relay->failure_count = 0;
      relay->log_only_until = now + LOG_INSTEAD_USEC;
    }
  relay_step (core, now, out);
}

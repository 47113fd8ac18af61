#include "decide/peers.h"

#include "decide/core.h"
#include "decide/timing.h"

/* Initialise PEERS without knowledge of any node.  */
void
peers_init (struct peers *peers)
{
  peers->applied_offsets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Free the memory of PEERS.  */
void
peers_clear (struct peers *peers)
{
  g_hash_table_destroy (peers->applied_offsets);
  peers->applied_offsets = NULL;
}

/* Store that INCARNATION has applied all records below OFFSET.  */
void
peers_note_applied (struct peers *peers, guint64 incarnation, guint64 offset)
{
  const guint64 *known
      = g_hash_table_lookup (peers->applied_offsets, &incarnation);

  if (known != NULL && *known >= offset)
    return;
  g_hash_table_replace (peers->applied_offsets,
                        g_memdup2 (&incarnation, sizeof incarnation),
                        g_memdup2 (&offset, sizeof offset));
}

/* Return whether INCARNATION is known to have applied the record at
   OFFSET.  */
gboolean
peers_has_applied (const struct peers *peers, guint64 incarnation,
                   guint64 offset)
{
  const guint64 *known
      = g_hash_table_lookup (peers->applied_offsets, &incarnation);

  return known != NULL && *known > offset;
}

/* Drop the nodes that VIEW shows as removed.  */
void
peers_forget_removed (struct peers *peers, const struct view *view)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, peers->applied_offsets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (view_was_removed (view, *(const guint64 *)key))
      g_hash_table_iter_remove (&iter);
}

/* Add a call of KIND to NODE to the actions in OUT.  The caller fills in its
   body before the next action is added.  */
struct action_peer_call *
peers_call (struct core *core, const struct view_node *node,
            enum peer_kind kind, gint64 now, struct actions *out)
{
  struct action_peer_call *call
      = &actions_add (out, ACTION_PEER_CALL)->u.peer_call;

  call->serial = ++core->last_call_serial;
  call->peer_incarnation = node->join.incarnation;
  call->address = node->join.peer_address;
  call->deadline = now + CALL_TIMEOUT_USEC;
  call->body.kind = kind;
  call->body.target_incarnation = call->peer_incarnation;
  return call;
}

#include "decide/witness.h"

#include "decide/timing.h"

/* Set up a witness that has acked nothing.  */
void
witness_init (struct witness *witness)
{
  witness->running_since = 0;
  witness->acks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Release what WITNESS holds.  */
void
witness_clear (struct witness *witness)
{
  g_hash_table_destroy (witness->acks);
  witness->acks = NULL;
}

/* What was acked to HOLDER, or NULL.  */
struct witness_ack *
witness_find (const struct witness *witness, guint64 holder)
{
  return g_hash_table_lookup (witness->acks, &holder);
}

/* What was acked to HOLDER, made empty if there is nothing yet.  */
static struct witness_ack *
find_or_add (struct witness *witness, guint64 holder)
{
  struct witness_ack *ack = witness_find (witness, holder);

  if (ack != NULL)
    return ack;
  ack = g_new0 (struct witness_ack, 1);
  ack->holder = holder;
  g_hash_table_insert (witness->acks, &ack->holder, ack);
  return ack;
}

/* Expect renewals of HOLDER from NOW on.  */
void
witness_expect_renewals (struct witness *witness, guint64 holder, gint64 now)
{
  struct witness_ack *ack = find_or_add (witness, holder);

  if (ack->last_ack_at == 0)
    ack->last_ack_at = now;
}

/* Tell whether a holder has been silent for too long.  After a pause of this
   process its renewals get the time to come in again.  */
gboolean
witness_is_unresponsive (const struct witness *witness,
                         const struct witness_ack *ack, gint64 now)
{
  gint64 since = MAX (ack->last_ack_at, witness->running_since);

  return now - since >= UNRESPONSIVE_AFTER_USEC;
}

/* Ack a renewal unless the holder's removal has been promised, or the holder
   is not KNOWN as a node that is neither out nor retired: a promise may be
   forgotten once the log shows its holder out.  FOLDED tells the holder how
   far this node has folded.  */
void
witness_on_renew (struct witness *witness, const struct peer_renew *call,
                  gboolean known, guint64 applied, gint64 now,
                  struct peer_renew_reply *reply)
{
  struct witness_ack *ack;

  reply->round = call->round;
  reply->applied_offset = applied;
  reply->granted = FALSE;
  if (!known)
    return;
  ack = find_or_add (witness, call->incarnation);
  reply->granted = !ack->has_promised;
  if (ack->has_promised)
    return;
  ack->last_ack_at = now;
  ack->floor = MAX (ack->floor, call->floor);
}

/* Promise never to ack the target again, if it has been silent here too.  A
   witness that has acked nothing to it promises as well: its last ack counts
   as now, since a renewal may be on its way to the holder.  */
void
witness_on_promise (struct witness *witness, const struct peer_promise *call,
                    gint64 now, struct peer_promise_reply *reply)
{
  struct witness_ack *ack = find_or_add (witness, call->target);

  if (ack->last_ack_at == 0)
    ack->last_ack_at = now;
  reply->target = call->target;
  reply->promised
      = ack->has_promised || witness_is_unresponsive (witness, ack, now);
  if (!reply->promised)
    return;
  ack->has_promised = TRUE;
  reply->floor = ack->floor;
  reply->remaining_usec
      = MAX (0, ack->last_ack_at + LEASE_USEC + LEASE_DRIFT_USEC - now);
}

/* Forget the holders that VIEW shows out.  */
void
witness_forget_removed (struct witness *witness, const struct view *view)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, witness->acks);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (view_was_removed (view, *(const guint64 *)key))
      g_hash_table_iter_remove (&iter);
}

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

/* Release the memory of WITNESS.  */
void
witness_clear (struct witness *witness)
{
  g_hash_table_destroy (witness->acks);
  witness->acks = NULL;
}

/* Return what was acked to HOLDER, or NULL.  */
struct witness_ack *
witness_find (const struct witness *witness, guint64 holder)
{
  return g_hash_table_lookup (witness->acks, &holder);
}

/* Return what was acked to HOLDER, adding an empty entry if there is none.  */
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

/* Tell whether the holder of ACK has been unresponsive for too long.  After a
   pause of this process the holder gets the full time to renew again.  */
gboolean
witness_is_unresponsive (const struct witness *witness,
                         const struct witness_ack *ack, gint64 now)
{
  gint64 since = MAX (ack->last_ack_at, witness->running_since);

  return now - since >= UNRESPONSIVE_AFTER_USEC;
}

/* Answer the renewal CALL with an ack, unless this node has promised the
   holder's removal or IS_ALIVE is not set.  IS_ALIVE tells whether the view
   shows the holder as neither removed nor replaced; the check is needed
   because a promise is dropped once the log shows the holder as removed.
   APPLIED_OFFSET is the offset below which this node has applied the log.  */
void
witness_on_renew (struct witness *witness, const struct peer_renew *call,
                  gboolean is_alive, guint64 applied_offset, gint64 now,
                  struct peer_renew_reply *reply)
{
  struct witness_ack *ack;

  reply->round = call->round;
  reply->applied_offset = applied_offset;
  reply->granted = FALSE;
  if (!is_alive)
    return;
  ack = find_or_add (witness, call->incarnation);
  reply->granted = !ack->has_promised;
  if (ack->has_promised)
    return;
  ack->last_ack_at = now;
  ack->floor = MAX (ack->floor, call->floor);
}

/* Answer CALL with a promise never to ack the target again, if the target is
   unresponsive here too.  A witness that has acked nothing to the target can
   promise as well; the last ack then counts as given at NOW, because a renewal
   may be on its way.  */
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

/* Drop the holders that VIEW shows as removed.  */
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

#include "decide/witness.h"

#include "decide/timing.h"

/* Set up a witness that has acked nothing.  */
void
witness_init (struct witness *witness)
{
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

/* Ack a renewal unless the holder's removal has been promised.  FOLDED tells
   the holder how far this node has folded.  */
void
witness_on_renew (struct witness *witness, const struct peer_renew *call,
                  guint64 folded, gint64 now, struct peer_renew_reply *reply)
{
  struct witness_ack *ack = find_or_add (witness, call->incarnation);

  reply->round = call->round;
  reply->folded = folded;
  reply->granted = !ack->promised;
  if (ack->promised)
    return;
  ack->last = now;
  ack->floor = MAX (ack->floor, call->floor);
  ack->folded = MAX (ack->folded, call->folded);
}

/* Promise never to ack the target again, if it has been silent here too.  A
   witness that has acked nothing to it promises as well: its last ack counts
   as now, since a renewal may be on its way to the holder.  */
void
witness_on_promise (struct witness *witness, const struct peer_promise *call,
                    gint64 now, struct peer_promise_reply *reply)
{
  struct witness_ack *ack = find_or_add (witness, call->target);

  if (ack->last == 0)
    ack->last = now;
  reply->promised = ack->promised || now - ack->last >= SILENT_AFTER_USEC;
  if (!reply->promised)
    return;
  ack->promised = TRUE;
  reply->floor = ack->floor;
  reply->remaining = MAX (0, ack->last + LEASE_USEC + LEASE_DRIFT_USEC - now);
}

/* Forget a holder that is out.  */
void
witness_forget (struct witness *witness, guint64 holder)
{
  g_hash_table_remove (witness->acks, &holder);
}

#include "decide/promise_quorum.h"

/* Return the promise of WITNESS, or NULL.  */
const struct removal_promise *
promise_find (const struct removal *removal, guint64 witness)
{
  guint32 i;

  for (i = 0; i < removal->promise_count; i++)
    if (removal->promises[i].witness == witness)
      return &removal->promises[i];
  return NULL;
}

/* Summarise the promises of the COUNT witnesses in SET.  */
static struct promise_quorum
count_promises (const struct removal *removal, const guint64 *set,
                guint32 count)
{
  struct promise_quorum sum = { FALSE, 0, 0 };
  guint32 promised_count = 0;
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct removal_promise *promise = promise_find (removal, set[i]);
      if (promise == NULL)
        continue;
      promised_count++;
      sum.floor = MAX (sum.floor, promise->floor);
      sum.expires_at = MAX (sum.expires_at, promise->ack_expires_at);
    }
  sum.has_majority = promised_count > count / 2;
  return sum;
}

/* Tell whether the promises in REMOVAL are a certificate, and put their
   summary into SUM.  NODE begins a change of its witness set by raising its
   floor to the offset of the change.  A majority of the old set is enough if
   the floors of its promises show that NODE has not begun the change.  A
   majority of the new set is enough if the floor of some promise shows that
   NODE has begun: from then on the lease needs the new set, and acks from
   before have expired once the ack of that promise has.  */
gboolean
promise_quorum_check (const struct removal *removal,
                      const struct view_node *node, struct promise_quorum *sum)
{
  struct promise_quorum current
      = count_promises (removal, node->witnesses, node->witness_count);
  struct promise_quorum previous = count_promises (
      removal, node->previous_witnesses, node->previous_witness_count);

  *sum = previous;
  if (previous.has_majority && previous.floor < node->witness_epoch)
    return TRUE;
  sum->floor = MAX (current.floor, previous.floor);
  sum->expires_at = MAX (current.expires_at, previous.expires_at);
  sum->has_majority = current.has_majority;
  return current.has_majority
         && (node->previous_witness_count == 0
             || sum->floor >= node->witness_epoch);
}

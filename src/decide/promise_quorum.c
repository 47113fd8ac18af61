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
  guint32 given = 0;
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct removal_promise *promise = promise_find (removal, set[i]);
      if (promise == NULL)
        continue;
      given++;
      sum.floor = MAX (sum.floor, promise->floor);
      sum.expires_at = MAX (sum.expires_at, promise->ack_expires_at);
    }
  sum.has_majority = given > count / 2;
  return sum;
}

/* Tell whether the promises in REMOVAL are a certificate, and put their
   summary into SUM.  While the witness set of NODE is being replaced, a
   majority of the old set is enough if no promise of that set shows that NODE
   has begun the change.  A majority of the new set is enough if some promise
   shows that it has begun: from then on the lease needs the new set, and each
   earlier ack has expired once the last ack of that witness has.  */
gboolean
promise_quorum_check (const struct removal *removal,
                      const struct view_node *node, struct promise_quorum *sum)
{
  struct promise_quorum set
      = count_promises (removal, node->witnesses, node->witness_count);
  struct promise_quorum before = count_promises (
      removal, node->previous_witnesses, node->previous_witness_count);

  *sum = before;
  if (before.has_majority && before.floor < node->witness_epoch)
    return TRUE;
  sum->floor = MAX (set.floor, before.floor);
  sum->expires_at = MAX (set.expires_at, before.expires_at);
  sum->has_majority = set.has_majority;
  return set.has_majority
         && (node->previous_witness_count == 0
             || sum->floor >= node->witness_epoch);
}

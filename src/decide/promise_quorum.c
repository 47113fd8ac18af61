#include "decide/promise_quorum.h"

/* The promise of WITNESS, or NULL.  */
const struct removal_promise *
promise_find (const struct removal *removal, guint64 witness)
{
  guint32 i;

  for (i = 0; i < removal->promise_count; i++)
    if (removal->promises[i].witness == witness)
      return &removal->promises[i];
  return NULL;
}

/* Add up the promises of SET.  */
static struct promise_quorum
add_up (const struct removal *removal, const guint64 *set, guint32 count)
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

/* Tell whether the promises are a certificate, and put what they add up to
   into SUM.  While a witness set is taking over, the set before counts alone
   if no promise of it shows that NODE has begun the change.  The new set
   counts alone if some promise does show it: from then on the lease needs the
   new set, and each ack before then has lapsed once that promise's has.  */
gboolean
promise_quorum_check (const struct removal *removal,
                      const struct view_node *node, struct promise_quorum *sum)
{
  struct promise_quorum set
      = add_up (removal, node->witnesses, node->witness_count);
  struct promise_quorum before = add_up (removal, node->previous_witnesses,
                                         node->previous_witness_count);

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

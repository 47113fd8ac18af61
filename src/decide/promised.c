#include "decide/promised.h"

/* Return the promise of WITNESS, or NULL.  */
const struct removal_promise *
promised_by (const struct removal *removal, guint64 witness)
{
  guint32 i;

  for (i = 0; i < removal->count; i++)
    if (removal->promises[i].witness == witness)
      return &removal->promises[i];
  return NULL;
}

/* Summarise the promises of the COUNT witnesses in SET.  */
static struct promised
count_promises (const struct removal *removal, const guint64 *set,
                guint32 count)
{
  struct promised sum = { FALSE, 0, 0 };
  guint32 given = 0;
  guint32 i;

  for (i = 0; i < count; i++)
    {
      const struct removal_promise *promise = promised_by (removal, set[i]);
      if (promise == NULL)
        continue;
      given++;
      sum.floor = MAX (sum.floor, promise->floor);
      sum.lapsed = MAX (sum.lapsed, promise->lapsed);
    }
  sum.majority = given > count / 2;
  return sum;
}

/* Tell whether the promises in REMOVAL are a certificate, and put their
   summary into SUM.  While the witness set of NODE is being replaced, a
   majority of the old set is enough if no promise of that set shows that NODE
   has begun the change.  A majority of the new set is enough if some promise
   shows that it has begun: from then on the lease needs the new set, and each
   earlier ack has expired once the ack behind that promise has.  */
gboolean
promised_enough (const struct removal *removal, const struct view_node *node,
                 struct promised *sum)
{
  struct promised set
      = count_promises (removal, node->witnesses, node->witness_count);
  struct promised before
      = count_promises (removal, node->before, node->before_count);

  *sum = before;
  if (before.majority && before.floor < node->witness_epoch)
    return TRUE;
  sum->floor = MAX (set.floor, before.floor);
  sum->lapsed = MAX (set.lapsed, before.lapsed);
  sum->majority = set.majority;
  return set.majority
         && (node->before_count == 0 || sum->floor >= node->witness_epoch);
}

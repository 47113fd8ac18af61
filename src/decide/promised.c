#include "decide/promised.h"

/* The promise of WITNESS, or NULL.  */
const struct removal_promise *
promised_by (const struct removal *removal, guint64 witness)
{
  guint32 i;

  for (i = 0; i < removal->count; i++)
    if (removal->promises[i].witness == witness)
      return &removal->promises[i];
  return NULL;
}

/* Add up the promises of SET.  */
static struct promised
add_up (const struct removal *removal, const guint64 *set, guint32 count)
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

/* Tell whether the promises are a certificate, and put what they add up to
   into SUM.  While a witness set is taking over, the set before counts alone
   if no promise of it shows that NODE has begun the change.  The new set
   counts alone if some promise does show it: from then on the lease needs the
   new set, and each ack before then has lapsed once that promise's has.  */
gboolean
promised_enough (const struct removal *removal, const struct view_node *node,
                 struct promised *sum)
{
  struct promised set = add_up (removal, node->witnesses, node->witness_count);
  struct promised before = add_up (removal, node->before, node->before_count);

  *sum = before;
  if (before.majority && before.floor < node->witness_epoch)
    return TRUE;
  sum->floor = MAX (set.floor, before.floor);
  sum->lapsed = MAX (set.lapsed, before.lapsed);
  sum->majority = set.majority;
  return set.majority
         && (node->before_count == 0 || sum->floor >= node->witness_epoch);
}

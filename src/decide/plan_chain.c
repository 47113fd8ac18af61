#include "decide/plan_chain.h"

/* Set up chains without slices.  */
void
plan_chain_init (struct plan_chain *chain)
{
  chain->first = g_array_new (FALSE, FALSE, sizeof (guint32));
  chain->next = g_array_new (FALSE, FALSE, sizeof (guint32));
}

/* Release what CHAIN holds.  */
void
plan_chain_clear (struct plan_chain *chain)
{
  g_array_free (chain->first, TRUE);
  g_array_free (chain->next, TRUE);
  chain->first = NULL;
  chain->next = NULL;
}

/* The place AT of ARRAY, which is filled up with ends as far as that.  */
static guint32 *
link_at (GArray *array, guint32 at)
{
  static const guint32 end = CHAIN_END;

  while (array->len <= at)
    g_array_append_val (array, end);
  return &g_array_index (array, guint32, at);
}

/* The link to the first slice of the member in ROW.  Links stay good until a
   slice or member with a higher number is asked for.  */
guint32 *
plan_chain_first (struct plan_chain *chain, guint32 row)
{
  return link_at (chain->first, row);
}

/* The link from SLICE to the next one of the same owner.  */
guint32 *
plan_chain_next (struct plan_chain *chain, guint32 slice)
{
  return link_at (chain->next, slice);
}

/* Add SLICE to the chain of the member in ROW.  */
void
plan_chain_add (struct plan_chain *chain, guint32 row, guint32 slice)
{
  guint32 *first = plan_chain_first (chain, row);

  *plan_chain_next (chain, slice) = *first;
  *first = slice;
}

#include "decide/plan_chain.h"

/* Initialise empty lists.  */
void
plan_chain_init (struct plan_chain *chain)
{
  chain->first = g_array_new (FALSE, FALSE, sizeof (guint32));
  chain->next = g_array_new (FALSE, FALSE, sizeof (guint32));
}

/* Free the memory of the lists.  */
void
plan_chain_clear (struct plan_chain *chain)
{
  g_array_free (chain->first, TRUE);
  g_array_free (chain->next, TRUE);
  chain->first = NULL;
  chain->next = NULL;
}

/* Return a pointer to element AT of ARRAY, which grows as needed; new elements
   are SLICE_LIST_END.  */
static guint32 *
link_at (GArray *array, guint32 at)
{
  static const guint32 end = CHAIN_END;

  while (array->len <= at)
    g_array_append_val (array, end);
  return &g_array_index (array, guint32, at);
}

/* Return the link to the first slice of the member in ROW.  The pointer is
   valid until a higher row or slice number is looked up.  */
guint32 *
plan_chain_first (struct plan_chain *chain, guint32 row)
{
  return link_at (chain->first, row);
}

/* Return the link to the slice after SLICE in the list of its owner.  The
   pointer is valid until a higher row or slice number is looked up.  */
guint32 *
plan_chain_next (struct plan_chain *chain, guint32 slice)
{
  return link_at (chain->next, slice);
}

/* Prepend SLICE to the list of the member in ROW.  */
void
plan_chain_add (struct plan_chain *chain, guint32 row, guint32 slice)
{
  guint32 *first = plan_chain_first (chain, row);

  *plan_chain_next (chain, slice) = *first;
  *first = slice;
}

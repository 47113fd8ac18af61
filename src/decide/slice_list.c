#include "decide/slice_list.h"

/* Set up chains without slices.  */
void
slice_list_init (struct slice_list *chain)
{
  chain->first_of_member = g_array_new (FALSE, FALSE, sizeof (guint32));
  chain->next_of_slice = g_array_new (FALSE, FALSE, sizeof (guint32));
}

/* Release what CHAIN holds.  */
void
slice_list_clear (struct slice_list *chain)
{
  g_array_free (chain->first_of_member, TRUE);
  g_array_free (chain->next_of_slice, TRUE);
  chain->first_of_member = NULL;
  chain->next_of_slice = NULL;
}

/* The place AT of ARRAY, which is filled up with ends as far as that.  */
static guint32 *
link_at (GArray *array, guint32 at)
{
  static const guint32 end = SLICE_LIST_END;

  while (array->len <= at)
    g_array_append_val (array, end);
  return &g_array_index (array, guint32, at);
}

/* The link to the first slice of the member in ROW.  Links stay good until a
   slice or member with a higher number is asked for.  */
guint32 *
slice_list_first (struct slice_list *chain, guint32 row)
{
  return link_at (chain->first_of_member, row);
}

/* The link from SLICE to the next one of the same owner.  */
guint32 *
slice_list_next (struct slice_list *chain, guint32 slice)
{
  return link_at (chain->next_of_slice, slice);
}

/* Add SLICE to the chain of the member in ROW.  */
void
slice_list_add (struct slice_list *chain, guint32 row, guint32 slice)
{
  guint32 *first = slice_list_first (chain, row);

  *slice_list_next (chain, slice) = *first;
  *first = slice;
}

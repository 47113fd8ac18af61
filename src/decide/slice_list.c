#include "decide/slice_list.h"

/* Initialise empty lists.  */
void
slice_list_init (struct slice_list *lists)
{
  lists->first_of_member = g_array_new (FALSE, FALSE, sizeof (guint32));
  lists->next_of_slice = g_array_new (FALSE, FALSE, sizeof (guint32));
}

/* Free the memory of the lists.  */
void
slice_list_clear (struct slice_list *lists)
{
  g_array_free (lists->first_of_member, TRUE);
  g_array_free (lists->next_of_slice, TRUE);
  lists->first_of_member = NULL;
  lists->next_of_slice = NULL;
}

/* Return a pointer to element AT of ARRAY, which grows as needed; new elements
   are SLICE_LIST_END.  */
static guint32 *
link_at (GArray *array, guint32 at)
{
  static const guint32 end = SLICE_LIST_END;

  while (array->len <= at)
    g_array_append_val (array, end);
  return &g_array_index (array, guint32, at);
}

/* Return the link to the first slice of the member in ROW.  The pointer is
   valid until a higher row or slice number is looked up.  */
guint32 *
slice_list_first (struct slice_list *lists, guint32 row)
{
  return link_at (lists->first_of_member, row);
}

/* Return the link to the slice after SLICE in the list of its owner.  The
   pointer is valid until a higher row or slice number is looked up.  */
guint32 *
slice_list_next (struct slice_list *lists, guint32 slice)
{
  return link_at (lists->next_of_slice, slice);
}

/* Prepend SLICE to the list of the member in ROW.  */
void
slice_list_add (struct slice_list *lists, guint32 row, guint32 slice)
{
  guint32 *first = slice_list_first (lists, row);

  *slice_list_next (lists, slice) = *first;
  *first = slice;
}

#ifndef BAMBOOTALLY_SLICE_LIST_H
#define BAMBOOTALLY_SLICE_LIST_H

#include <glib.h>

/* The slices of each member that may be moved for balance, chained.  */

#define SLICE_LIST_END G_MAXUINT32 /* end of a chain, and no slice */

struct slice_list
{
  GArray *first_of_member; /* guint32 by row of the member: its first slice */
  GArray *next_of_slice; /* guint32 by slice: the next one of the same owner */
};

void slice_list_init (struct slice_list *chain);
void slice_list_clear (struct slice_list *chain);
void slice_list_add (struct slice_list *chain, guint32 row, guint32 slice);
guint32 *slice_list_first (struct slice_list *chain, guint32 row);
guint32 *slice_list_next (struct slice_list *chain, guint32 slice);

#endif

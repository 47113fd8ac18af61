#ifndef BAMBOOTALLY_SLICE_LIST_H
#define BAMBOOTALLY_SLICE_LIST_H

#include <glib.h>

/* Singly linked lists of slice numbers, one for each member of a service: the
   slices that may be moved for balance.  Links are indices into arrays.  */

#define SLICE_LIST_END G_MAXUINT32 /* ends a list; not a slice */

struct slice_list
{
  GArray *first_of_member; /* guint32 by row of the member: a slice or
                              SLICE_LIST_END */
  GArray *next_of_slice;   /* guint32 by slice: a slice or SLICE_LIST_END */
};

void slice_list_init (struct slice_list *lists);
void slice_list_clear (struct slice_list *lists);
void slice_list_add (struct slice_list *lists, guint32 row, guint32 slice);
guint32 *slice_list_first (struct slice_list *lists, guint32 row);
guint32 *slice_list_next (struct slice_list *lists, guint32 slice);

#endif

#ifndef BAMBOOTALLY_PLAN_CHAIN_H
#define BAMBOOTALLY_PLAN_CHAIN_H

#include <glib.h>

/* Singly linked lists of slice numbers, one for each member of a service: the
   slices that may be moved for balance.  Links are indices into arrays.  */

#define CHAIN_END G_MAXUINT32 /* ends a list; no slice has this number */

struct plan_chain
{
  GArray *first; /* guint32 by row of the member: its first slice, or
                    SLICE_LIST_END */
  GArray *next;  /* guint32 by slice: the next slice of the same owner, or
                    SLICE_LIST_END */
};

void plan_chain_init (struct plan_chain *chain);
void plan_chain_clear (struct plan_chain *chain);
void plan_chain_add (struct plan_chain *chain, guint32 row, guint32 slice);
guint32 *plan_chain_first (struct plan_chain *chain, guint32 row);
guint32 *plan_chain_next (struct plan_chain *chain, guint32 slice);

#endif

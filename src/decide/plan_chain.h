#ifndef BAMBOOTALLY_PLAN_CHAIN_H
#define BAMBOOTALLY_PLAN_CHAIN_H

#include <glib.h>

/* The slices of each member that may be moved for balance, chained.  */

#define CHAIN_END G_MAXUINT32 /* end of a chain, and no slice */

struct plan_chain
{
  GArray *first; /* guint32 by row of the member: its first slice */
  GArray *next;  /* guint32 by slice: the next one of the same owner */
};

void plan_chain_init (struct plan_chain *chain);
void plan_chain_clear (struct plan_chain *chain);
void plan_chain_add (struct plan_chain *chain, guint32 row, guint32 slice);
guint32 *plan_chain_first (struct plan_chain *chain, guint32 row);
guint32 *plan_chain_next (struct plan_chain *chain, guint32 slice);

#endif

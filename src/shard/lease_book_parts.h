#ifndef BAMBOOTALLY_LEASE_BOOK_PARTS_H
#define BAMBOOTALLY_LEASE_BOOK_PARTS_H

#include "shard/lease_book.h"

/* Functions that the source files of this module share: lease_book.c, the
   leases of a map, and lease_book_orders.c, the calls for them.  */

/* Return the lease at INDEX.  */
static inline struct key_lease *
lease_at (const struct lease_book *book, guint index)
{
  return &g_array_index (book->leases, struct key_lease, index);
}

/* Return the lease that contains KEY, or NULL.  */
static inline struct key_lease *
find_lease (const struct lease_book *book, guint32 key)
{
  guint i;

  for (i = 0; i < book->leases->len; i++)
    if (lease_at (book, i)->first <= key && key <= lease_at (book, i)->last)
      return lease_at (book, i);
  return NULL;
}

/* Begin to release LEASE at NOW.  The answer of a grant on its way does not
   matter any more.  */
static inline void
begin_release (struct key_lease *lease, gint64 now)
{
  if (lease->state >= KEY_LEASE_RELEASING)
    return;
  lease->state = KEY_LEASE_RELEASING;
  lease->requests_until = 0;
  lease->order_serial = 0;
  lease->next_order_at = now;
}

#endif

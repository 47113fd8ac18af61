#ifndef BAMBOOTALLY_LEASE_BOOK_H
#define BAMBOOTALLY_LEASE_BOOK_H

#include "shard/key_lease.h"
#include "shard/lease_piece.h"
#include "types/key_order_result.h"
#include "types/shard.h"

/* Keys that a backend server is granted by calls.

   A grant without an answer may be carried out seconds later, after newer
   ones.  Therefore requests are sent only under a grant that was answered, and
   keys are given up only after a release that was answered.  A release has a
   higher fence than all grants of the same shard, so that no grant of it that
   arrives later is accepted.  After a release the keys need a new fence.  */

struct lease_book
{
  GArray *leases; /* struct key_lease, by key, without overlaps */
  gint64 next_at; /* no order is due before, monotonic usec */
};

void lease_book_init (struct lease_book *book);
void lease_book_clear (struct lease_book *book);
void lease_book_reset (struct lease_book *book);
void lease_book_update (struct lease_book *book,
                        const struct lease_piece *pieces, guint count,
                        gint64 now);
gboolean lease_book_next_order (struct lease_book *book, guint64 serial,
                                gint64 granted_until, gint64 now,
                                struct key_order *order);
gboolean lease_book_on_ended (struct lease_book *book,
                              const struct key_order_result *result,
                              gint64 now);
void lease_book_on_denied (struct lease_book *book, guint32 key, gint64 now);
gboolean lease_book_covers_key (const struct lease_book *book, guint32 key,
                                gint64 now);
gboolean lease_book_is_released (const struct lease_book *book,
                                 const struct shard *shard,
                                 const char **token);
gboolean lease_book_is_surrendered (const struct lease_book *book,
                                    const struct shard *shard);
guint lease_book_held_count (const struct lease_book *book, gint64 now);

#endif

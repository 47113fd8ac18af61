#include "shard/lease_book_parts.h"

#include <string.h>

/* Initialize BOOK without any keys.  */
void
lease_book_init (struct lease_book *book)
{
  memset (book, 0, sizeof *book);
  book->leases = g_array_new (FALSE, TRUE, sizeof (struct key_lease));
}

/* Free the memory of BOOK.  */
void
lease_book_clear (struct lease_book *book)
{
  g_array_free (book->leases, TRUE);
}

/* Forget all keys: they were those of a server that has ended.  */
void
lease_book_reset (struct lease_book *book)
{
  g_array_set_size (book->leases, 0);
  book->next_at = 0;
}

/* Changes of the map */

/* Cut the lease that contains FIRST and an earlier key, so that one begins at
   FIRST.  The parts keep what is known of the whole.  */
static void
split_at (struct lease_book *book, guint32 first)
{
  guint i;

  for (i = 0; i < book->leases->len; i++)
    {
      struct key_lease part = *lease_at (book, i);
      if (part.first >= first || part.last < first)
        continue;
      lease_at (book, i)->last = first - 1;
      part.first = first;
      g_array_insert_val (book->leases, i + 1, part);
      return;
    }
}

/* Return the one of COUNT PIECES that contains KEY, or NULL.  */
static const struct lease_piece *
find_piece (const struct lease_piece *pieces, guint count, guint32 key)
{
  guint i;

  for (i = 0; i < count; i++)
    if (pieces[i].first <= key && key <= pieces[i].last)
      return &pieces[i];
  return NULL;
}

/* Add a lease for the keys FIRST to LAST of PIECE, none of which has one.  */
static void
add_lease (struct lease_book *book, const struct lease_piece *piece,
           guint32 first, guint32 last, gint64 now)
{
  struct key_lease lease
      = { .first = first,
          .last = last,
          .fence = piece->fence,
          .state = piece->release ? KEY_LEASE_RELEASING : KEY_LEASE_GRANTING,
          .next_order_at = now };
  guint i = 0;

  g_strlcpy (lease.handover_token, piece->handover_token,
             sizeof lease.handover_token);
  while (i < book->leases->len && lease_at (book, i)->first < first)
    i++;
  g_array_insert_val (book->leases, i, lease);
}

/* Add leases for the keys of PIECE that have none.  */
static void
fill_piece (struct lease_book *book, const struct lease_piece *piece,
            gint64 now)
{
  guint32 first = piece->first;
  guint i;

  for (i = 0; i < book->leases->len && first <= piece->last; i++)
    {
      const struct key_lease lease = *lease_at (book, i);
      if (lease.last < first || lease.first > piece->last)
        continue;
      if (lease.first > first)
        add_lease (book, piece, first, lease.first - 1, now);
      first = lease.last + 1;
    }
  if (first <= piece->last)
    add_lease (book, piece, first, piece->last, now);
}

/* Return whether A and B, its successor, can be granted by one call.  */
static gboolean
can_join (const struct key_lease *a, const struct key_lease *b)
{
  return a->last + 1 == b->first && a->fence == b->fence
         && a->state == b->state && a->order_serial == 0
         && b->order_serial == 0 && a->state != KEY_LEASE_RELEASED
         && strcmp (a->handover_token, b->handover_token) == 0;
}

/* Join neighbours that are in the same piece of PIECES and that one call can
   grant.  */
static void
join_leases (struct lease_book *book, const struct lease_piece *pieces,
             guint count)
{
  guint i = 1;

  while (i < book->leases->len)
    {
      struct key_lease *a = lease_at (book, i - 1);
      const struct key_lease *b = lease_at (book, i);
      if (!can_join (a, b)
          || find_piece (pieces, count, a->first)
                 != find_piece (pieces, count, b->first))
        {
          i++;
          continue;
        }
      a->last = b->last;
      a->requests_until = MIN (a->requests_until, b->requests_until);
      a->next_order_at = MIN (a->next_order_at, b->next_order_at);
      g_array_remove_index (book->leases, i);
    }
}

/* Make the leases of BOOK match COUNT PIECES, which are in the order of their
   keys: keys that are not in any piece, or have another fence there, are
   dropped and no requests for them are sent.  */
void
lease_book_update (struct lease_book *book, const struct lease_piece *pieces,
                   guint count, gint64 now)
{
  guint i;

  for (i = 0; i < count; i++)
    {
      split_at (book, pieces[i].first);
      split_at (book, pieces[i].last + 1);
    }
  for (i = book->leases->len; i > 0; i--)
    {
      struct key_lease *lease = lease_at (book, i - 1);
      const struct lease_piece *piece
          = find_piece (pieces, count, lease->first);
      if (piece == NULL || piece->fence != lease->fence)
        g_array_remove_index (book->leases, i - 1);
      else if (piece->release)
        begin_release (lease, now);
    }
  for (i = 0; i < count; i++)
    fill_piece (book, &pieces[i], now);
  join_leases (book, pieces, count);
  book->next_at = now;
}

/* Queries */

/* Return whether requests for KEY may be sent to the server at NOW.  */
gboolean
lease_book_covers_key (const struct lease_book *book, guint32 key, gint64 now)
{
  const struct key_lease *lease = find_lease (book, key);

  return lease != NULL && now < lease->requests_until;
}

/* Return whether the release of all of SHARD under its fence was answered.
   Set TOKEN to the handover token, or to an empty string if parts of SHARD
   have different ones.  */
gboolean
lease_book_is_released (const struct lease_book *book,
                        const struct shard *shard, const char **token)
{
  const char *common = NULL;
  guint32 key = shard->first;

  *token = "";
  while (key <= shard->last)
    {
      const struct key_lease *lease = find_lease (book, key);
      if (lease == NULL || lease->state != KEY_LEASE_RELEASED
          || lease->fence != shard->fence)
        return FALSE;
      if (common != NULL && strcmp (common, lease->handover_token) != 0)
        common = "";
      else if (common == NULL)
        common = lease->handover_token;
      key = lease->last + 1;
    }
  *token = common;
  return TRUE;
}

/* Return whether a key of SHARD is being released or was released under the
   fence of SHARD, which cannot be granted again.  */
gboolean
lease_book_is_surrendered (const struct lease_book *book,
                           const struct shard *shard)
{
  guint i;

  for (i = 0; i < book->leases->len; i++)
    {
      const struct key_lease *lease = lease_at (book, i);
      if (lease->first <= shard->last && lease->last >= shard->first
          && lease->fence == shard->fence
          && lease->state >= KEY_LEASE_RELEASING)
        return TRUE;
    }
  return FALSE;
}

/* Return the number of ranges for which requests may be sent at NOW.  */
guint
lease_book_held_count (const struct lease_book *book, gint64 now)
{
  guint count = 0;
  guint i;

  for (i = 0; i < book->leases->len; i++)
    if (now < lease_at (book, i)->requests_until)
      count++;
  return count;
}

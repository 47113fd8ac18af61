#include "shard/lease_book.h"

#include <string.h>

/* Fences on the wire.  The release of a shard has a fence between that of its
   grants and that of the next holder.  */
#define FENCE_FACTOR 2u
#define RELEASE_FENCE_OFFSET 1u

/* Delay after an order that ended without an answer, and after one that could
   not be sent.  */
#define UNANSWERED_DELAY_USEC ((gint64)20000)
#define UNSENT_DELAY_USEC ((gint64)50000)

/* Delay until the next attempt if no grant may be given now.  */
#define NO_GRANT_DELAY_USEC ((gint64)50000)

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

/* Return the lease at INDEX.  */
static struct key_lease *
lease_at (const struct lease_book *book, guint index)
{
  return &g_array_index (book->leases, struct key_lease, index);
}

/* Return the lease that contains KEY, or NULL.  */
static struct key_lease *
find_lease (const struct lease_book *book, guint32 key)
{
  guint i;

  for (i = 0; i < book->leases->len; i++)
    if (lease_at (book, i)->first <= key && key <= lease_at (book, i)->last)
      return lease_at (book, i);
  return NULL;
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

/* Begin to release LEASE at NOW.  The answer of a grant on its way does not
   matter any more.  */
static void
begin_release (struct key_lease *lease, gint64 now)
{
  if (lease->state >= KEY_LEASE_RELEASING)
    return;
  lease->state = KEY_LEASE_RELEASING;
  lease->requests_until = 0;
  lease->order_serial = 0;
  lease->next_order_at = now;
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

/* Orders */

/* Fill in ORDER for LEASE, with the number SERIAL; a grant is to last until
   GRANTED_UNTIL.  */
static void
fill_order (struct key_lease *lease, guint64 serial, gint64 granted_until,
            struct key_order *order)
{
  memset (order, 0, sizeof *order);
  order->first = lease->first;
  order->last = lease->last;
  order->fence = lease->fence * FENCE_FACTOR;
  if (lease->state == KEY_LEASE_RELEASING)
    {
      order->kind = KEY_ORDER_RELEASE;
      order->fence += RELEASE_FENCE_OFFSET;
    }
  else
    {
      order->kind = KEY_ORDER_GRANT;
      order->granted_until = granted_until;
      g_strlcpy (order->handover_token, lease->handover_token,
                 sizeof order->handover_token);
    }
  lease->order_serial = serial;
  lease->order_until = granted_until;
}

/* Fill in the next ORDER that is due at NOW and note it as number SERIAL.  A
   grant lasts until GRANTED_UNTIL; if that is 0 nothing may be granted.
   Return FALSE if no order is due.  */
gboolean
lease_book_next_order (struct lease_book *book, guint64 serial,
                       gint64 granted_until, gint64 now,
                       struct key_order *order)
{
  gint64 next_at = G_MAXINT64;
  guint i;

  if (now < book->next_at)
    return FALSE;
  for (i = 0; i < book->leases->len; i++)
    {
      struct key_lease *lease = lease_at (book, i);
      if (lease->order_serial != 0 || lease->state == KEY_LEASE_RELEASED)
        continue;
      if (now >= lease->next_order_at && granted_until == 0
          && lease->state != KEY_LEASE_RELEASING)
        lease->next_order_at = now + NO_GRANT_DELAY_USEC;
      if (now >= lease->next_order_at)
        {
          fill_order (lease, serial, granted_until, order);
          return TRUE;
        }
      next_at = MIN (next_at, lease->next_order_at);
    }
  book->next_at = next_at;
  return FALSE;
}

/* Process the answer to the grant of LEASE.  It is renewed when half of it is
   over.  */
static void
on_granted (struct key_lease *lease, gint64 now)
{
  lease->state = KEY_LEASE_HELD;
  lease->requests_until = MAX (lease->requests_until, lease->order_until);
  lease->next_order_at = now + (lease->order_until - now) / 2;
}

/* Process the answer to the release of LEASE with the handover TOKEN.  */
static void
on_released (struct key_lease *lease, const char *token)
{
  lease->state = KEY_LEASE_RELEASED;
  g_strlcpy (lease->handover_token, token, sizeof lease->handover_token);
}

/* Process the refusal of ORDER, which was for LEASE: the server has seen a
   higher fence on one of the keys.  If LEASE is all that ORDER was for, its
   fence is used up, and the keys are released.  */
static void
on_fence_refused (struct key_lease *lease, const struct key_order *order,
                  gint64 now)
{
  if (lease->first == order->first && lease->last == order->last)
    begin_release (lease, now);
  else
    lease->next_order_at = now;
}

/* Process the end of ORDER, number SERIAL, with CODE: ERR_NONE if it was
   carried out, ERR_CONFLICT if the server has seen a higher fence, ERR_REFUSED
   if it was not sent, another code if it has no answer.  The answer to a
   release has a HANDOVER_TOKEN.  Return whether a release ended.  */
gboolean
lease_book_on_ended (struct lease_book *book, guint64 serial,
                     const struct key_order *order, enum err code,
                     const char *handover_token, gint64 now)
{
  gboolean released = FALSE;
  guint i;

  for (i = 0; i < book->leases->len; i++)
    {
      struct key_lease *lease = lease_at (book, i);
      if (lease->order_serial != serial)
        continue;
      lease->order_serial = 0;
      lease->next_order_at = now + UNANSWERED_DELAY_USEC;
      switch (code)
        {
        case ERR_NONE:
          if (order->kind == KEY_ORDER_RELEASE)
            on_released (lease, handover_token);
          else
            on_granted (lease, now);
          released = released || order->kind == KEY_ORDER_RELEASE;
          break;
        case ERR_CONFLICT:
          on_fence_refused (lease, order, now);
          break;
        case ERR_REFUSED:
          lease->next_order_at = now + UNSENT_DELAY_USEC;
          break;
        default:
          break;
        }
    }
  book->next_at = now;
  return released;
}

/* Record that the server denied at NOW to hold KEY.  Requests for the range of
   KEY wait until it is granted again.  */
void
lease_book_on_denied (struct lease_book *book, guint32 key, gint64 now)
{
  struct key_lease *lease = find_lease (book, key);

  if (lease == NULL || lease->state != KEY_LEASE_HELD)
    return;
  lease->state = KEY_LEASE_GRANTING;
  lease->requests_until = 0;
  lease->order_serial = 0;
  lease->next_order_at = now;
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

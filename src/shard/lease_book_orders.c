#include "shard/lease_book_parts.h"

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

/* Process RESULT, the end of an order.  Return whether a release was
   answered.  */
gboolean
lease_book_on_ended (struct lease_book *book,
                     const struct key_order_result *result, gint64 now)
{
  gboolean is_release = result->order.kind == KEY_ORDER_RELEASE;
  gboolean released = FALSE;
  guint i;

  for (i = 0; i < book->leases->len; i++)
    {
      struct key_lease *lease = lease_at (book, i);
      if (lease->order_serial != result->serial)
        continue;
      lease->order_serial = 0;
      lease->next_order_at = now + UNANSWERED_DELAY_USEC;
      switch (result->code)
        {
        case ERR_NONE:
          if (is_release)
            on_released (lease, result->handover_token);
          else
            on_granted (lease, now);
          released = is_release;
          break;
        case ERR_CONFLICT:
          on_fence_refused (lease, &result->order, now);
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

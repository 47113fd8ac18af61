#include "edge/byte_budget.h"

/* Which connection or request is closed.  */

/* A holder whose bytes wait for the other end, and do not move for this long,
   is closed before others.  */
#define STALLED_USEC ((gint64)1000000)

/* A connection on which nothing moves for this long is closed if its
   descriptor is needed.  No request lasts as long.  */
#define IDLE_USEC ((gint64)15000000)

/* Return whether bytes of HOLDER wait for a reader at NOW that does not
   read.  */
static gboolean
is_stalled (const struct byte_holder *holder, gint64 now)
{
  return holder->is_unread && now - holder->moved_at >= STALLED_USEC;
}

/* Return the holder that holds most among those that may be closed: all, or
   only those that are stalled at NOW.  Only connections of callers are
   considered if CALLERS_ONLY.  */
static struct handle
find_largest (const struct byte_budget *budget, gboolean all, gint64 now,
              gboolean callers_only)
{
  struct handle largest = HANDLE_NONE;
  struct handle h = table_next (&budget->holders, HANDLE_NONE);
  guint64 most = 0;

  for (; handle_is_set (h); h = table_next (&budget->holders, h))
    {
      const struct byte_holder *holder = table_get (&budget->holders, h);
      if (holder->kind == BYTE_HOLDER_OTHER || holder->bytes <= most
          || (callers_only && holder->kind != BYTE_HOLDER_CALLER)
          || (!all && !is_stalled (holder, now)))
        continue;
      most = holder->bytes;
      largest = h;
    }
  return largest;
}

/* Return the connection of a caller that has been idle longest, and long
   enough to be closed at NOW.  */
static struct handle
find_idle (const struct byte_budget *budget, gint64 now)
{
  struct handle idle = HANDLE_NONE;
  struct handle h = table_next (&budget->holders, HANDLE_NONE);
  gint64 since = now - IDLE_USEC;

  for (; handle_is_set (h); h = table_next (&budget->holders, h))
    {
      const struct byte_holder *holder = table_get (&budget->holders, h);
      if (holder->kind != BYTE_HOLDER_CALLER || holder->moved_at > since)
        continue;
      since = holder->moved_at;
      idle = h;
    }
  return idle;
}

/* Return the holder that is to be closed at NOW since all hold too much: the
   one that holds most, among those that are stalled if there is one.
   HANDLE_NONE: there is room.  */
struct handle
byte_budget_to_close (const struct byte_budget *budget, gint64 now)
{
  struct handle h;

  if (!byte_budget_is_over (budget))
    return HANDLE_NONE;
  h = find_largest (budget, FALSE, now, FALSE);
  return handle_is_set (h) ? h : find_largest (budget, TRUE, now, FALSE);
}

/* Return the connection that is to be closed at NOW, when others wait to be
   accepted and there is no descriptor for them: the one that holds most of
   those that are stalled, or one that is idle.  HANDLE_NONE: all are in use.
 */
struct handle
byte_budget_to_make_room (const struct byte_budget *budget, gint64 now)
{
  struct handle h = find_largest (budget, FALSE, now, TRUE);

  return handle_is_set (h) ? h : find_idle (budget, now);
}

#include "edge/byte_budget.h"

#include "types/limits.h"

#include <string.h>

/* Least share of a holder: the longest head, a body that is received before
   its request is submitted, and what is counted for both.  With less, a single
   request within the limits could not be received.  */
#define SHARE_MIN ((guint64)49152)

/* Bytes that a connection of another kind may have queued while the budget is
   short.  */
#define QUEUED_MAX ((guint64)262144)

/* One holder may buffer this part of the budget of a response that its reader
   takes slowly: 1 of BUFFER_PARTS.  */
#define BUFFER_PARTS 16u

/* Return PARTS eighths of the budget.  */
static guint64
eighths (const struct byte_budget *budget, guint parts)
{
  return budget->limit / 8 * parts;
}

/* Return the bytes that each holder may have while the budget is short: an
   equal part of half of it.  */
static guint64
share (const struct byte_budget *budget)
{
  guint count = budget->counts[BYTE_HOLDER_CALLER]
                + budget->counts[BYTE_HOLDER_STREAM];

  return MAX (SHARE_MIN, eighths (budget, 4) / MAX (count, 1));
}

/* Initialize a budget of LIMIT bytes and CONNECTIONS_MAX connections.  */
void
byte_budget_init (struct byte_budget *budget, guint64 limit,
                  guint connections_max)
{
  memset (budget, 0, sizeof *budget);
  budget->limit = limit;
  budget->connections_max = connections_max;
  table_init (&budget->holders, sizeof (struct byte_holder));
}

/* Release what BUDGET holds.  */
void
byte_budget_clear (struct byte_budget *budget)
{
  table_clear (&budget->holders);
}

/* Holders */

/* Add a holder of KIND for USER.  */
struct handle
byte_budget_add (struct byte_budget *budget, enum byte_holder_kind kind,
                 gpointer user, gint64 now)
{
  struct handle h = table_add (&budget->holders);
  struct byte_holder *holder = table_get (&budget->holders, h);

  holder->kind = kind;
  holder->user = user;
  holder->moved_at = now;
  budget->counts[kind]++;
  return h;
}

/* Set the kind of the holder H.  */
void
byte_budget_set_kind (struct byte_budget *budget, struct handle h,
                      enum byte_holder_kind kind)
{
  struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder == NULL)
    return;
  budget->counts[holder->kind]--;
  holder->kind = kind;
  budget->counts[kind]++;
}

/* Remove the holder H with all that it holds.  */
void
byte_budget_remove (struct byte_budget *budget, struct handle h)
{
  struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder == NULL)
    return;
  budget->held -= holder->bytes;
  budget->counts[holder->kind]--;
  byte_budget_stop (budget, h, FALSE);
  table_remove (&budget->holders, h);
}

/* Count CHANGE bytes more, or less, for the holder H.  A holder that was
   removed holds nothing any more.  */
void
byte_budget_charge (struct byte_budget *budget, struct handle h, gint64 change)
{
  struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder == NULL)
    return;
  change = MAX (change, -(gint64)holder->bytes);
  holder->bytes += (guint64)change;
  budget->held += (guint64)change;
}

/* Record that bytes of the holder H were received or sent at NOW.  */
void
byte_budget_moved (struct byte_budget *budget, struct handle h, gint64 now)
{
  struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder != NULL)
    holder->moved_at = now;
}

/* Record whether bytes of the holder H wait for the other end to read.  */
void
byte_budget_set_unread (struct byte_budget *budget, struct handle h,
                        gboolean is_unread)
{
  struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder != NULL)
    holder->is_unread = is_unread;
}

/* Record whether the reading of the holder H is stopped.  */
void
byte_budget_stop (struct byte_budget *budget, struct handle h,
                  gboolean is_stopped)
{
  struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder == NULL || holder->is_stopped == is_stopped)
    return;
  holder->is_stopped = is_stopped;
  if (is_stopped)
    budget->stopped_count++;
  else
    budget->stopped_count--;
}

/* Decisions */

/* Return whether holders are to be closed: only the eighth that is kept for
   callers who hold little is left.  */
gboolean
byte_budget_is_over (const struct byte_budget *budget)
{
  return budget->limit > 0 && budget->held > eighths (budget, 7);
}

/* Return whether the budget is short: holders keep to their shares.  */
gboolean
byte_budget_is_short (const struct byte_budget *budget)
{
  return budget->limit > 0 && budget->held >= eighths (budget, 6);
}

/* Return whether a budget that was short is so no more.  The distance to
   byte_budget_is_short keeps it from changing with each request.  */
gboolean
byte_budget_is_relieved (const struct byte_budget *budget)
{
  return budget->limit == 0 || budget->held < eighths (budget, 4);
}

/* Return whether the connection of the holder H may be read.  What comes from
   servers and other nodes is always read, since it is passed on or ends
   requests; how much of it comes is bounded by the requests.  */
gboolean
byte_budget_may_read (const struct byte_budget *budget, struct handle h)
{
  const struct byte_holder *holder = table_get (&budget->holders, h);

  if (holder == NULL || holder->kind == BYTE_HOLDER_OTHER
      || !byte_budget_is_short (budget))
    return TRUE;
  return budget->held < budget->limit && holder->bytes <= share (budget);
}

/* Return whether more may be queued for the other end of the connection of the
   holder H, which is of another kind, before it reads.  */
gboolean
byte_budget_may_queue (const struct byte_budget *budget, struct handle h)
{
  const struct byte_holder *holder = table_get (&budget->holders, h);

  return holder == NULL || !byte_budget_is_short (budget)
         || holder->bytes <= QUEUED_MAX;
}

/* Return whether the holder H may buffer more of a response than is usual, so
   that the server is done with it.  Without a limit it may not.  */
gboolean
byte_budget_may_buffer (const struct byte_budget *budget, struct handle h)
{
  const struct byte_holder *holder = table_get (&budget->holders, h);

  return holder != NULL && budget->limit > 0
         && budget->held < eighths (budget, 4)
         && holder->bytes < budget->limit / BUFFER_PARTS;
}

/* Return whether the holder H, HANDLE_NONE for one that is to be added, may
   begin another request.  Up to the last eighth of a short budget all holders
   within their shares may; that eighth is kept for callers who hold little.
   */
gboolean
byte_budget_may_begin (const struct byte_budget *budget, struct handle h)
{
  const struct byte_holder *holder = table_get (&budget->holders, h);

  if (!byte_budget_is_short (budget))
    return TRUE;
  if (holder == NULL)
    return budget->held < eighths (budget, 7);
  return budget->held < budget->limit && holder->bytes <= share (budget);
}

/* Return whether another connection may be accepted.  */
gboolean
byte_budget_may_accept (const struct byte_budget *budget)
{
  return budget->connections_max == 0
         || budget->counts[BYTE_HOLDER_CALLER]
                    + budget->counts[BYTE_HOLDER_OTHER]
                < budget->connections_max;
}

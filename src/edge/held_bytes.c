#include "edge/held_bytes.h"

#include "edge/conn.h"
#include "types/clock.h"
#include "types/limits.h"

#include <sys/resource.h>

/* Memory for the program, what it knows of the fleet, and its log: 9 MB were
   measured for a fleet of two nodes.  */
#define FIXED_BYTES ((guint64)16777216)

/* Least budget, for settings below what the process needs.  */
#define BUDGET_MIN ((guint64)4194304)

/* Least number of connections, for settings below what the process needs.  */
#define CONNECTIONS_MIN 16u

/* Descriptors for sockets that listen, the log and the loop; 15 are open.  */
#define FIXED_DESCRIPTORS 32u

/* Part of the descriptors that is kept for new connections to servers, other
   nodes and the store: 1 of SPARE_PARTS.  */
#define SPARE_PARTS 20u

/* The budget of the process, and what performs its decisions.  */
struct held_bytes
{
  struct byte_budget budget;
  gboolean is_ready;                 /* budget is initialized */
  held_bytes_close_fn *close_stream; /* closes a BYTE_HOLDER_STREAM */
  guint close_source; /* source id of a call that closes holders, 0: none */
  guint64 closed;     /* holders closed so far */
  gint64 refused_at;  /* when a connection was last left waiting for a
                         descriptor, monotonic usec; 0: never */
};

static struct held_bytes held;

/* Return the budget.  */
static struct byte_budget *
budget (void)
{
  if (!held.is_ready)
    byte_budget_init (&held.budget, 0, 0);
  held.is_ready = TRUE;
  return &held.budget;
}

/* Limit what the process holds, so that it stays below MEMORY_BYTES and
   DESCRIPTORS_MAX.  Two thirds of the memory that is not taken by the process
   itself are for what is counted; the rest is for what is not: free memory
   between blocks, and the growth of buffers in powers of two.  0: there is no
   limit.  */
void
held_bytes_limit (guint64 memory_bytes, guint descriptors_max)
{
  struct byte_budget *b = budget ();
  struct rlimit limit;
  guint fixed;

  if (memory_bytes == 0 || descriptors_max == 0)
    return;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0
      && limit.rlim_cur < descriptors_max)
    descriptors_max = (guint)limit.rlim_cur;
  fixed = FIXED_DESCRIPTORS + descriptors_max / SPARE_PARTS;
  b->limit = MAX (BUDGET_MIN, memory_bytes > FIXED_BYTES
                                  ? (memory_bytes - FIXED_BYTES) / 3 * 2
                                  : 0);
  b->connections_max
      = descriptors_max > fixed ? descriptors_max - fixed : CONNECTIONS_MIN;
}

/* Have FN called to close a BYTE_HOLDER_STREAM.  */
void
held_bytes_on_close (held_bytes_close_fn *fn)
{
  held.close_stream = fn;
}

/* Closing */

/* Close the holder H.  */
static void
close_holder (struct handle h)
{
  const struct byte_holder *holder = table_get (&budget ()->holders, h);
  gpointer user = holder->user;

  held.closed++;
  switch (holder->kind)
    {
    case BYTE_HOLDER_CALLER:
      conn_drop (user);
      break;
    case BYTE_HOLDER_STREAM:
      if (held.close_stream != NULL)
        held.close_stream (user);
      break;
    case BYTE_HOLDER_OTHER:
    case BYTE_HOLDER_KINDS:
      break;
    }
  byte_budget_remove (budget (), h);
}

/* Close what is to be closed.  */
static void
close_holders (void)
{
  gint64 now = clock_usec ();
  struct handle h = byte_budget_to_close (budget (), now);

  for (; handle_is_set (h); h = byte_budget_to_close (budget (), now))
    close_holder (h);
}

/* Read from the connections again that may be read.  */
static void
resume_readers (void)
{
  struct handle h = HANDLE_NONE;

  if (budget ()->stopped_count == 0)
    return;
  while (handle_is_set (h = table_next (&budget ()->holders, h)))
    {
      const struct byte_holder *holder = table_get (&budget ()->holders, h);
      if (!holder->is_stopped || !byte_budget_may_read (budget (), h))
        continue;
      byte_budget_stop (budget (), h, FALSE);
      conn_resume (holder->user);
    }
}

/* Close what is to be closed, from the main loop: the holder may be in use
   where the last bytes were counted.  */
static gboolean
on_close (gpointer data)
{
  (void)data;
  held.close_source = 0;
  close_holders ();
  return G_SOURCE_REMOVE;
}

/* Close what is to be closed, and read again where reading was stopped.  To be
   called with each tick of the process.  */
void
held_bytes_step (void)
{
  close_holders ();
  resume_readers ();
}

/* Holders */

/* Add a holder of KIND for USER.  */
struct handle
held_bytes_add (enum byte_holder_kind kind, gpointer user)
{
  struct handle h = byte_budget_add (budget (), kind, user, clock_usec ());

  if (kind != BYTE_HOLDER_STREAM)
    held_bytes_charge (h, BYTES_PER_CONNECTION);
  return h;
}

/* Set the kind of HOLDER.  */
void
held_bytes_set_kind (struct handle holder, enum byte_holder_kind kind)
{
  byte_budget_set_kind (budget (), holder, kind);
}

/* Remove HOLDER.  */
void
held_bytes_remove (struct handle holder)
{
  byte_budget_remove (budget (), holder);
}

/* Count CHANGE bytes more, or less, for HOLDER.  */
void
held_bytes_charge (struct handle holder, gint64 change)
{
  if (change == 0)
    return;
  byte_budget_charge (budget (), holder, change);
  if (change > 0 && held.close_source == 0 && byte_budget_is_over (budget ()))
    held.close_source
        = g_idle_add_full (G_PRIORITY_HIGH, on_close, NULL, NULL);
}

/* Record whether bytes of HOLDER wait for the other end to read.  */
void
held_bytes_set_unread (struct handle holder, gboolean is_unread)
{
  byte_budget_set_unread (budget (), holder, is_unread);
}

/* Record that bytes of HOLDER were received or sent now.  */
void
held_bytes_moved (struct handle holder)
{
  byte_budget_moved (budget (), holder, clock_usec ());
}

/* Record that the reading of HOLDER is stopped; conn_resume is called when it
   may go on.  */
void
held_bytes_stop (struct handle holder)
{
  byte_budget_stop (budget (), holder, TRUE);
}

/* Decisions */

/* Return whether the connection HOLDER may be read.  */
gboolean
held_bytes_may_read (struct handle holder)
{
  return byte_budget_may_read (budget (), holder);
}

/* Return whether more may be queued on the connection HOLDER before the other
   end reads.  */
gboolean
held_bytes_may_queue (struct handle holder)
{
  return byte_budget_may_queue (budget (), holder);
}

/* Return whether HOLDER may buffer more of a response than is usual.  */
gboolean
held_bytes_may_buffer (struct handle holder)
{
  return byte_budget_may_buffer (budget (), holder);
}

/* Return whether HOLDER, HANDLE_NONE for a new one, may begin a request.  */
gboolean
held_bytes_may_begin (struct handle holder)
{
  return byte_budget_may_begin (budget (), holder);
}

/* Return whether a connection that waits may be accepted.  Another one may be
   closed for it.  */
gboolean
held_bytes_may_accept (void)
{
  struct handle h;

  if (byte_budget_may_accept (budget ()))
    return TRUE;
  held.refused_at = clock_usec ();
  h = byte_budget_to_make_room (budget (), held.refused_at);
  if (!handle_is_set (h))
    return FALSE;
  close_holder (h);
  return TRUE;
}

/* Return the state, for log and metrics.  */
struct held_bytes_state
held_bytes_state (void)
{
  const struct byte_budget *b = budget ();
  struct held_bytes_state state
      = { .held = b->held,
          .limit = b->limit,
          .connections
          = b->counts[BYTE_HOLDER_CALLER] + b->counts[BYTE_HOLDER_OTHER],
          .closed = held.closed,
          .is_short = byte_budget_is_short (b)
                      || (held.refused_at != 0
                          && clock_usec () - held.refused_at < USEC_PER_SEC),
          .is_relieved = byte_budget_is_relieved (b) };

  return state;
}

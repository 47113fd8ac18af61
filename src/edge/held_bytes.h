#ifndef BAMBOOTALLY_HELD_BYTES_H
#define BAMBOOTALLY_HELD_BYTES_H

#include "edge/byte_budget.h"

/* The byte budget of the process: connections and requests count what they
   hold here, and what byte_budget decides is performed.  A process has one, as
   it has one main loop.  Without held_bytes_limit there is no limit.  */

typedef void held_bytes_close_fn (gpointer stream);

/* What was done for lack of room, for log and metrics.  */
struct held_bytes_state
{
  guint64 held;         /* bytes that are held */
  guint64 limit;        /* bytes that may be held, 0: any number */
  guint connections;    /* open connections */
  guint64 closed;       /* connections and requests that were closed so far */
  gboolean is_short;    /* the budget is short, or connections wait for
                           descriptors */
  gboolean is_relieved; /* well below the limit of bytes */
};

void held_bytes_limit (guint64 memory_bytes, guint descriptors_max);
void held_bytes_on_close (held_bytes_close_fn *fn);
struct handle held_bytes_add (enum byte_holder_kind kind, gpointer user);
void held_bytes_set_kind (struct handle holder, enum byte_holder_kind kind);
void held_bytes_remove (struct handle holder);
void held_bytes_charge (struct handle holder, gint64 change);
void held_bytes_set_unread (struct handle holder, gboolean is_unread);
void held_bytes_moved (struct handle holder);
void held_bytes_stop (struct handle holder);
gboolean held_bytes_may_read (struct handle holder);
gboolean held_bytes_may_queue (struct handle holder);
gboolean held_bytes_may_buffer (struct handle holder);
gboolean held_bytes_may_begin (struct handle holder);
gboolean held_bytes_may_accept (void);
void held_bytes_step (void);
struct held_bytes_state held_bytes_state (void);

#endif

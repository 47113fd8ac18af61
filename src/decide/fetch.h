#ifndef BAMBOOTALLY_FETCH_H
#define BAMBOOTALLY_FETCH_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Starts from a peer while the log is down: a node that has never read the
   log to its tail asks the peers of its settings, and those of the view it
   then has, for a snapshot of theirs, page by page.  It serves callers with
   that view, but takes no part in ownership before it has joined.  */

struct fetch
{
  gboolean call_pending;   /* a page is asked for */
  guint64 call_serial;     /* serial of that call */
  struct address address;  /* peer that is asked */
  guint64 snapshot_offset; /* snapshot that is being fetched, 0 for none */
  GByteArray *bytes;       /* its pages so far, or NULL */
  guint32 next_peer_index; /* takes peers in turn */
  gint64 next_attempt_at;  /* when the next peer is asked, monotonic usec */
};

void fetch_clear (struct fetch *fetch);
void fetch_step (struct core *core, gint64 now, struct actions *out);
void fetch_on_call (const struct core *core,
                    const struct event_peer_call *event, struct actions *out);
void fetch_on_reply (struct core *core, const struct event_peer_reply *event,
                     gint64 now, struct actions *out);

#endif

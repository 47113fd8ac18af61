#ifndef BAMBOOTALLY_FETCH_H
#define BAMBOOTALLY_FETCH_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Fetches a snapshot from a peer while the log is unreachable.  A node that
   has never read the log to its end calls the seeds of its settings, and the
   nodes of the view once it has one, for a snapshot, page by page.  With this
   view it serves callers, but it takes no part in ownership before it has
   joined.  */

struct fetch
{
  gboolean call_pending;  /* a call for a page is pending */
  guint64 call_serial;    /* serial of the last call for a page */
  struct address address; /* address of the peer that is called */
  /* offset of the snapshot being fetched, 0 for none */
  guint64 snapshot_offset;
  GByteArray *bytes;       /* pages received so far, or NULL */
  guint32 next_peer_index; /* counts the peers called; selects the next one */
  gint64 next_attempt_at;  /* when the next peer may be called, monotonic
                              microseconds */
};

void fetch_clear (struct fetch *fetch);
void fetch_step (struct core *core, gint64 now, struct actions *out);
void fetch_on_call (const struct core *core,
                    const struct event_peer_call *event, struct actions *out);
void fetch_on_reply (struct core *core, const struct event_peer_reply *event,
                     gint64 now, struct actions *out);

#endif

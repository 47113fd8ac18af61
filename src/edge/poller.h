#ifndef BAMBOOTALLY_POLLER_H
#define BAMBOOTALLY_POLLER_H

#include "types/handle.h"

/* Watches descriptors for the main loop.  All are in one epoll set, which the
   loop watches as a single descriptor, so that the cost of a wake-up does not
   grow with the number of idle connections.  A process has one poller, as it
   has one main loop.  */

#define POLLER_IN 1u     /* readable, or closed by the peer */
#define POLLER_OUT 2u    /* writable, or closed by the peer */
#define POLLER_HANGUP 4u /* closed by the peer, also behind unread bytes */

/* Called with READY, the watched events that are ready, as POLLER_ bits.  */
typedef void poller_fn (guint32 ready, gpointer data);

struct handle poller_add (int fd, guint32 events, poller_fn *fn,
                          gpointer data);
void poller_report_first (struct handle h, gboolean is_first);
void poller_set_events (struct handle h, guint32 events);
void poller_remove (struct handle h);
void poller_forget (struct handle h);

#endif

#ifndef BAMBOOTALLY_POLLER_H
#define BAMBOOTALLY_POLLER_H

#include "types/handle.h"

/* Watches descriptors for the main loop.  They are all in one epoll set, which
   is one descriptor to the loop: what a wake-up costs does not grow with the
   connections that are quiet.  There is one poller a process, as there is one
   loop.  */

#define POLLER_IN 1u  /* there is something to read, or the end */
#define POLLER_OUT 2u /* there is room to write, or the end */

/* Told what FD is READY for, of what is wanted.  */
typedef void poller_fn (guint32 ready, gpointer data);

struct handle poller_add (int fd, guint32 wanted, poller_fn *fn,
                          gpointer data);
void poller_set_events (struct handle h, guint32 wanted);
void poller_remove (struct handle h);

#endif

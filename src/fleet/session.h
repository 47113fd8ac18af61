#ifndef BAMBOOTALLY_SESSION_H
#define BAMBOOTALLY_SESSION_H

#include <glib.h>

/* A node's session with the store.  It lasts SESSION_USEC from the moment at
   which a read of the fleet's topic began that showed all records folded; the
   read may be the node's own or one that a peer made.  A node has its server
   hold keys only within its session.  Whoever takes keys from a node first
   says so in the store and then waits for SESSION_WAIT_USEC: a read that began
   later would have shown it.  */

/* From docs/MESH.md: longer bridges longer outages of the store,
   shorter brings the keys of a lost host back sooner.  */
#define SESSION_USEC ((gint64)5000000)
#define SESSION_WAIT_USEC (SESSION_USEC + SESSION_USEC / 25) /* 4 % drift */

struct session
{
  gint64 confirmed_at; /* when the read began, 0 for none */
};

void session_confirm (struct session *session, gint64 begun);
gint64 session_remaining_usec (const struct session *session, gint64 now);
gint64 session_age_usec (const struct session *session, gint64 now);

#endif

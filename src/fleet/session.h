#ifndef BAMBOOTALLY_SESSION_H
#define BAMBOOTALLY_SESSION_H

#include <glib.h>

/* A node's session with the store.  A session lasts SESSION_USEC from the
   start of a read of the fleet topic that showed all records as applied; the
   node itself or a peer may have made that read.  The server of a node holds
   keys only within the node's session.  A node that takes over keys of another
   first writes that to the store and then waits for SESSION_WAIT_USEC: any
   read that began later would have shown it.  */

/* From docs/MESH.md.  A longer session bridges longer outages of the store, a
   shorter one frees the keys of a lost host sooner.  */
#define SESSION_USEC ((gint64)5000000)
#define SESSION_WAIT_USEC (SESSION_USEC + SESSION_USEC / 25) /* 4 % drift */

struct session
{
  gint64 confirmed_at; /* when the confirming read began, 0: none */
};

void session_confirm (struct session *session, gint64 started_at);
gint64 session_remaining_usec (const struct session *session, gint64 now);
gint64 session_age_usec (const struct session *session, gint64 now);

#endif

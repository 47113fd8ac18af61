#ifndef BAMBOOTALLY_SESSION_H
#define BAMBOOTALLY_SESSION_H

#include "fleet/freshness.h"

/* A node's session with the store: its copy of the fleet's topic is recent.  A
   session lasts SESSION_USEC from the start of a read of the fleet topic that
   showed all records as applied; the node itself or a peer may have made that
   read.  The server of a node holds keys only within the node's session.  A
   node that takes over keys of another first writes that to the store and then
   waits for SESSION_WAIT_USEC: any read that began later would have shown it.
 */

/* From docs/MESH.md.  A longer session bridges longer outages of the store, a
   shorter one frees the keys of a lost host sooner.  */
#define SESSION_USEC ((gint64)5000000)
#define SESSION_WAIT_USEC (SESSION_USEC + SESSION_USEC / 25) /* 4 % drift */

gint64 session_remaining_usec (const struct freshness *fleet, gint64 now);

#endif

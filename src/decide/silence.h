#ifndef BAMBOOTALLY_SILENCE_H
#define BAMBOOTALLY_SILENCE_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* Connections that have gone silent while new ones would work.  Calls between
   nodes are short, so they are the probe: after a few in a row without an
   answer the connection is closed, and the next call makes a new one.  */

#define SILENCE_TIMEOUTS 2u /* calls in a row without an answer */

/* What is known of the connection to one node.  */
struct silence
{
  guint32 timeouts; /* calls in a row without an answer */
};

void silence_on_reply (struct core *core, const struct event_peer_reply *event,
                       struct actions *out);

#endif

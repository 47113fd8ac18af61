#ifndef BAMBOOTALLY_ADMIT_H
#define BAMBOOTALLY_ADMIT_H

#include "types/action.h"
#include "types/event.h"

struct core;
struct flight;

/* Dispatches requests to the backend server beside this node, within its slots
   and only while this node may serve them.  A run-once request is dispatched
   at most once.  */

void admit_request (struct core *core, struct handle exchange, gint64 now,
                    struct actions *out);
void admit_ended (struct core *core, const struct flight *flight,
                  const struct event_ended *event, gint64 now);
void admit_next (struct core *core, gint64 now, struct actions *out);

#endif

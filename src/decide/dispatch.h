#ifndef BAMBOOTALLY_DISPATCH_H
#define BAMBOOTALLY_DISPATCH_H

#include "types/action.h"
#include "types/event.h"

struct core;
struct inflight;

/* Brings requests to the backend server beside this node: at most once where
   that is asked, within its slots, and only while this node may serve them. */

void dispatch_request (struct core *core, struct handle exchange, gint64 now,
                       struct actions *out);
void dispatch_on_ended (struct core *core, const struct inflight *inflight,
                        const struct event_attempt_ended *event, gint64 now);
void dispatch_queued (struct core *core, gint64 now, struct actions *out);

#endif

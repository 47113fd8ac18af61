#ifndef BAMBOOTALLY_ROUTE_H
#define BAMBOOTALLY_ROUTE_H

#include "types/action.h"
#include "types/event.h"

struct core;
struct inflight;

/* Where requests go, and what happens when an attempt ends.  */

void route_request (struct core *core, const struct event_request *event,
                    gint64 now, struct actions *out);
void route_on_ended (struct core *core,
                     const struct event_attempt_ended *event, gint64 now,
                     struct actions *out);
void route_on_disconnected (struct core *core, struct handle exchange,
                            gint64 now, struct actions *out);
void route_update_load (struct core *core, const struct inflight *inflight,
                        gboolean gone, gint64 now);
void route_step (struct core *core, gint64 now, struct actions *out);

#endif

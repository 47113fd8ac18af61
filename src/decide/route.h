#ifndef BAMBOOTALLY_ROUTE_H
#define BAMBOOTALLY_ROUTE_H

#include "types/action.h"
#include "types/event.h"

struct core;
struct flight;

/* Sends requests to nodes, and handles the end of each attempt.  */

void route_request (struct core *core, const struct event_request *event,
                    gint64 now, struct actions *out);
void route_ended (struct core *core, const struct event_ended *event,
                  gint64 now, struct actions *out);
void route_gone (struct core *core, struct handle exchange, gint64 now,
                 struct actions *out);
void route_learn_load (struct core *core, const struct flight *flight,
                       gboolean cancelled, gint64 now);
void route_step (struct core *core, gint64 now, struct actions *out);

#endif

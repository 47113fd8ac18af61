#ifndef BAMBOOTALLY_CORE_EVENTS_H
#define BAMBOOTALLY_CORE_EVENTS_H

#include "types/action.h"
#include "types/event.h"

struct core;

/* How the core takes in each kind of event; core_step says which.  */

void core_on_records (struct core *core, const struct event_records *event,
                      gint64 now, struct actions *out);
void core_on_log_failed (struct core *core,
                         const struct event_log_failed *event, gint64 now,
                         struct actions *out);
void core_on_snapshot (struct core *core,
                       const struct event_snapshot_decoded *event, gint64 now,
                       struct actions *out);
void core_on_server_up (struct core *core, const struct event_server_up *event,
                        gint64 now, struct actions *out);
void core_on_server_down (struct core *core,
                          const struct event_server_down *event, gint64 now,
                          struct actions *out);
void core_on_peer_call (struct core *core, const struct event_peer_call *event,
                        gint64 now, struct actions *out);
void core_on_peer_reply (struct core *core,
                         const struct event_peer_reply *event, gint64 now,
                         struct actions *out);

#endif

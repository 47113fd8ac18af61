#ifndef BAMBOOTALLY_REMOVAL_H
#define BAMBOOTALLY_REMOVAL_H

#include "types/event.h"
#include "types/action.h"
#include "types/limits.h"

struct core;

/* Removes an unresponsive node: collects promises from its witnesses until
   they suffice for a certificate.  */

#define REMOVAL_PROMISES_MAX                                                  \
  (4u * WITNESS_MAX) /* most promises stored for one target */

/* A promise of a witness, which is never withdrawn.  */
struct removal_promise
{
  guint64 witness; /* incarnation of the witness */
  guint64 floor;   /* highest floor that the witness acked: offset up to which
                      the target had begun its handoffs */
  gint64 ack_expires_at; /* when the last ack of the witness expires, monotonic
                            usec */
};

struct removal
{
  guint64 target;      /* incarnation of the node to remove */
  gint64 next_call_at; /* when the witnesses are called next, monotonic usec */
  guint32 promise_count; /* number of promises */
  struct removal_promise promises[REMOVAL_PROMISES_MAX];
};

void removal_step (struct core *core, gint64 now, struct actions *out);
void removal_on_reply (struct core *core, const struct event_peer_reply *reply,
                       gint64 now, struct actions *out);

#endif

#ifndef BAMBOOTALLY_REMOVAL_H
#define BAMBOOTALLY_REMOVAL_H

#include "types/event.h"
#include "types/action.h"
#include "types/limits.h"

struct core;

/* Collecting promises from the witnesses of a node that has fallen silent,
   until they are a certificate.  */

#define REMOVAL_PROMISES_MAX                                                  \
  (4u * WITNESS_MAX) /* promises kept for one target                          \
                      */

/* A promise that was given.  It holds for good.  */
struct removal_promise
{
  guint64 witness;       /* who gave it */
  guint64 floor;         /* highest floor that witness acked */
  gint64 ack_expires_at; /* its last ack has lapsed from then on */
};

struct removal
{
  guint64 target;        /* the incarnation to remove */
  gint64 next_call_at;   /* when the witnesses are asked again */
  guint32 promise_count; /* promises */
  struct removal_promise promises[REMOVAL_PROMISES_MAX];
};

void removal_step (struct core *core, gint64 now, struct actions *out);
void removal_on_reply (struct core *core, const struct event_peer_reply *reply,
                       gint64 now, struct actions *out);

#endif

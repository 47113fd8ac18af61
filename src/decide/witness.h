#ifndef BAMBOOTALLY_WITNESS_H
#define BAMBOOTALLY_WITNESS_H

#include "types/peer_msg.h"
#include "types/view.h"

/* What this node has acked and promised as a witness of others.  It is kept
   in memory only: a process that starts again is a new incarnation, and no
   witness set names it.  */

struct witness_ack
{
  guint64 holder;        /* whose renewals */
  gint64 last_ack_at;    /* when the last one was acked, monotonic usec */
  guint64 floor;         /* highest floor acked */
  gboolean has_promised; /* never to be acked again */
};

struct witness
{
  GHashTable *acks;     /* incarnation to struct witness_ack */
  gint64 running_since; /* this process has run without a pause since then */
};

void witness_init (struct witness *witness);
void witness_clear (struct witness *witness);
struct witness_ack *witness_find (const struct witness *witness,
                                  guint64 holder);
void witness_on_renew (struct witness *witness, const struct peer_renew *call,
                       gboolean known, guint64 applied, gint64 now,
                       struct peer_renew_reply *reply);
void witness_on_promise (struct witness *witness,
                         const struct peer_promise *call, gint64 now,
                         struct peer_promise_reply *reply);
void witness_expect_renewals (struct witness *witness, guint64 holder,
                              gint64 now);
gboolean witness_is_unresponsive (const struct witness *witness,
                                  const struct witness_ack *ack, gint64 now);
void witness_forget_removed (struct witness *witness, const struct view *view);

#endif

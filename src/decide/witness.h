#ifndef BAMBOOTALLY_WITNESS_H
#define BAMBOOTALLY_WITNESS_H

#include "types/peer_msg.h"
#include "types/view.h"

/* Renewals that this node has acked, and promises that it has given, as a
   witness of other nodes.  Acks and promises are kept in memory only: a
   restarted process is a new incarnation, which is in no witness set.  */

struct witness_ack
{
  guint64 holder;     /* incarnation that holds the lease */
  gint64 last_ack_at; /* time of the last ack, monotonic usec */
  guint64 floor;      /* highest floor acked */
  /* this node has promised never to ack the holder again */
  gboolean has_promised;
};

struct witness
{
  GHashTable *acks; /* incarnation to struct witness_ack */
  /* this process has run without a pause since then, monotonic usec */
  gint64 running_since;
};

void witness_init (struct witness *witness);
void witness_clear (struct witness *witness);
struct witness_ack *witness_find (const struct witness *witness,
                                  guint64 holder);
void witness_on_renew (struct witness *witness, const struct peer_renew *call,
                       gboolean is_alive, guint64 applied_offset, gint64 now,
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

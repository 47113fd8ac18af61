#ifndef BAMBOOTALLY_PROMISE_QUORUM_H
#define BAMBOOTALLY_PROMISE_QUORUM_H

#include "decide/removal.h"
#include "types/view_node.h"

/* Summary of the promises of one witness set.  */
struct promise_quorum
{
  gboolean has_majority; /* a majority has promised */
  guint64 floor;         /* highest floor among the promises */
  /* when the last acks of all promising witnesses have expired, monotonic
     usec */
  gint64 expires_at;
};

const struct removal_promise *promise_find (const struct removal *removal,
                                            guint64 witness);
gboolean promise_quorum_check (const struct removal *removal,
                               const struct view_node *node,
                               struct promise_quorum *sum);

#endif

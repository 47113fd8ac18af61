#ifndef BAMBOOTALLY_PROMISE_QUORUM_H
#define BAMBOOTALLY_PROMISE_QUORUM_H

#include "decide/removal.h"
#include "types/view_node.h"

/* What the promises of one witness set add up to.  */
struct promise_quorum
{
  gboolean has_majority; /* whether a majority promised */
  guint64 floor;         /* highest floor among the promises */
  gint64 expires_at;     /* all their last acks have lapsed from then on */
};

const struct removal_promise *promise_find (const struct removal *removal,
                                            guint64 witness);
gboolean promise_quorum_check (const struct removal *removal,
                               const struct view_node *node,
                               struct promise_quorum *sum);

#endif

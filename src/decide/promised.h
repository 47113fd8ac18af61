#ifndef BAMBOOTALLY_PROMISED_H
#define BAMBOOTALLY_PROMISED_H

#include "decide/removal.h"
#include "types/view_node.h"

/* What the promises of one witness set add up to.  */
struct promised
{
  gboolean majority; /* whether a majority promised */
  guint64 floor;     /* highest floor among the promises */
  gint64 lapsed;     /* all their last acks have lapsed from then on */
};

const struct removal_promise *promised_by (const struct removal *removal,
                                           guint64 witness);
gboolean promised_enough (const struct removal *removal,
                          const struct view_node *node, struct promised *sum);

#endif

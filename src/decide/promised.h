#ifndef BAMBOOTALLY_PROMISED_H
#define BAMBOOTALLY_PROMISED_H

#include "decide/removal.h"
#include "types/view_node.h"

/* Summary of the promises of one witness set.  */
struct promised
{
  gboolean majority; /* a majority has promised */
  guint64 floor;     /* highest floor among the promises */
  /* the last acks behind all promises have expired by then, monotonic usec */
  gint64 lapsed;
};

const struct removal_promise *promised_by (const struct removal *removal,
                                           guint64 witness);
gboolean promised_enough (const struct removal *removal,
                          const struct view_node *node, struct promised *sum);

#endif

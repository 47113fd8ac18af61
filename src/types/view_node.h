#ifndef BAMBOOTALLY_VIEW_NODE_H
#define BAMBOOTALLY_VIEW_NODE_H

#include "types/record.h"

/* A node as the log describes it.  A node that is out leaves the view.  */

enum node_state
{
  NODE_LIVE = 0,    /* owns slices or may come to */
  NODE_LEAVING = 1, /* wants no new work */
  NODE_REPLACED = 2 /* a later process took its address; it is dead */
};

struct view_node
{
  struct record_join join; /* what it said when it joined */
  guint64 join_offset;     /* where its join stands */
  enum node_state state;   /* what it may do */
  guint64 witness_epoch;   /* offset of its witness set, 0 for none */
  guint32 witness_count;   /* witnesses in the set */
  guint64 witnesses[WITNESS_MAX];
  guint32 previous_witness_count; /* witnesses in the set before */
  guint64 previous_witnesses[WITNESS_MAX];
  guint32 owned_slice_count; /* slices it owns on the log */
};

#endif

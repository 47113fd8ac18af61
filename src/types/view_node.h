#ifndef BAMBOOTALLY_VIEW_NODE_H
#define BAMBOOTALLY_VIEW_NODE_H

#include "types/record.h"

/* A node as the log describes it.  A removed node is no longer in the
   view.  */

enum node_state
{
  NODE_LIVE = 0,    /* owns slices or may receive some */
  NODE_LEAVING = 1, /* accepts no new slices */
  NODE_REPLACED = 2 /* dead: a later process took its address */
};

struct view_node
{
  struct record_join join; /* description from the join record */
  guint64 join_offset;     /* offset of the join record */
  enum node_state state;   /* whether the node may own slices */
  guint64 witness_epoch;   /* offset of the witness set's record, 0 for none */
  guint32 witness_count;   /* entries in witnesses */
  guint64 witnesses[WITNESS_MAX];
  guint32 previous_witness_count; /* entries in previous_witnesses */
  guint64 previous_witnesses[WITNESS_MAX];
  guint32 owned_slice_count; /* slices that the node owns */
};

#endif

#ifndef BAMBOOTALLY_HOT_H
#define BAMBOOTALLY_HOT_H

#include "decide/sketch.h"
#include "types/action.h"
#include "types/view.h"

struct core;

/* Hot keys.  The owner of a key with a large share of its load proposes a
   slice of its own for the key, which planners may then move.  Once the key is
   no longer hot, its owner returns the key to the slice that it hashes to.  A
   bound key always has a slice of its own.  */

struct hot
{
  struct sketch sketch; /* keys run at this node */
  gint64 next_check_at; /* when to search for hot keys next, monotonic usec */
  gint64 demote_at[HOT_KEYS_MAX]; /* when a key that is no longer hot returns
                                     to its hashed slice, by index of the key,
                                     monotonic usec; 0 while the key is hot */
};

void hot_init (struct hot *hot);
void hot_step (struct core *core, gint64 now, struct actions *out);
const struct config_binding *hot_find_binding (const struct view *view,
                                               const char *service,
                                               const char *key);

#endif

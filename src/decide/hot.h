#ifndef BAMBOOTALLY_HOT_H
#define BAMBOOTALLY_HOT_H

#include "decide/sketch.h"
#include "types/action.h"
#include "types/view.h"

struct core;

/* Hot keys: the owner of a key that takes much of its load proposes a slice of
   its own for it, which planners may then move; once it is cold again, its
   owner brings it back.  A bound key has a slice of its own for good.  */

struct hot
{
  struct sketch sketch;           /* keys run at this node */
  gint64 next_check_at;           /* when to look next, monotonic usec */
  gint64 demote_at[HOT_KEYS_MAX]; /* by place: the key goes back then; 0: not
                                     cold */
};

void hot_init (struct hot *hot);
void hot_step (struct core *core, gint64 now, struct actions *out);
const struct config_binding *hot_find_binding (const struct view *view,
                                               const char *service,
                                               const char *key);

#endif

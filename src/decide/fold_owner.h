#ifndef BAMBOOTALLY_FOLD_OWNER_H
#define BAMBOOTALLY_FOLD_OWNER_H

#include "types/view.h"

/* Changes of slice ownership while records are applied.  */

gboolean fold_is_alive (const struct view *view, struct handle h);
gboolean fold_may_own (const struct view *view,
                       const struct view_service *service, struct handle h);
void fold_set_owner (struct view *view, struct view_slice *slice,
                     struct handle owner, const struct handle *successors,
                     guint64 offset);
gboolean fold_decline (struct view *view, struct view_slice *slice,
                       guint64 writer, guint64 offset);
void fold_owner_out (struct view *view, struct handle gone, guint64 floor,
                     guint64 offset);
void fold_owner_retired (struct view *view, struct handle gone,
                         guint64 offset);

#endif

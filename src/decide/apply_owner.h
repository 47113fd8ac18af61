#ifndef BAMBOOTALLY_APPLY_OWNER_H
#define BAMBOOTALLY_APPLY_OWNER_H

#include "types/view.h"

/* How the fold gives a slice to another owner.  */

gboolean apply_node_is_alive (const struct view *view, struct handle h);
gboolean apply_node_may_own (const struct view *view,
                             const struct view_service *service,
                             struct handle h);
void apply_set_owner (struct view *view, struct view_slice *slice,
                      struct handle owner, const struct handle *successors,
                      guint64 offset);
gboolean apply_decline (struct view *view, struct view_slice *slice,
                        guint64 writer, guint64 offset);
void apply_owner_removed (struct view *view, struct handle gone, guint64 floor,
                          guint64 offset);
void apply_owner_retired (struct view *view, struct handle gone,
                          guint64 offset);

#endif

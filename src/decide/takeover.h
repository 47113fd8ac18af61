#ifndef BAMBOOTALLY_TAKEOVER_H
#define BAMBOOTALLY_TAKEOVER_H

#include "types/fence.h"
#include "types/view.h"

struct core;

/* Taking slices over by certificate, before the log tells of it.  */

/* What is known of a successor's turn.  */
struct takeover
{
  gboolean is_due;    /* its turn has come */
  struct fence fence; /* fence to serve under */
  gint64 serve_at;    /* when it may serve, monotonic usec */
};

struct takeover takeover_check (const struct core *core,
                                const struct view_slice *slice,
                                struct handle successor);
guint takeover_count (const struct core *core);
struct handle takeover_probable_owner (const struct core *core,
                                       const struct view_service *service,
                                       guint32 slice);

#endif

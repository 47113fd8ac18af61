#ifndef BAMBOOTALLY_TAKEOVER_H
#define BAMBOOTALLY_TAKEOVER_H

#include "types/fence.h"
#include "types/view.h"

struct core;

/* Takeover of slices by certificate, before the log shows the new owner.  */

/* Right of a successor to take a slice over.  */
struct takeover
{
  gboolean is_due;    /* the successor is next in order and may take over */
  struct fence fence; /* fence to serve under */
  gint64 serve_at;    /* when the successor may serve, monotonic usec */
};

struct takeover takeover_check (const struct core *core,
                                const struct view_slice *slice,
                                struct handle successor);
guint takeover_slice_count (const struct core *core);
struct handle takeover_probable_owner (const struct core *core,
                                       const struct view_service *service,
                                       guint32 slice);

#endif
